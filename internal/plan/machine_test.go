package plan

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/config"
)

// scripted is a change to a configuration that differs in one figure.
func scripted(t testing.TB, base Running, attempts int) Proposal {
	next := example(t)
	next.Pools[0].MaxAttempts = attempts
	return Proposal{By: "apply", Config: next, Base: base}
}

var errStep = errors.New("step failed")

// Each script: what happens (an offer, the end of the node, the outcome of the last step) and the step that
// must follow.
func TestApplySteps(t *testing.T) {
	for name, script := range map[string]string{
		"all goes well":                "offer prepare ok persist ok commit ok retire ok nothing",
		"preparing fails":              "offer prepare fail nothing",
		"persisting fails":             "offer prepare ok persist fail restore ok undo ok nothing",
		"nothing was written":          "offer prepare ok persist untouched undo ok nothing offer prepare",
		"restoring fails too":          "offer prepare ok persist fail restore fail undo ok nothing offer repair ok prepare ok persist ok commit ok retire ok nothing",
		"to what runs while in doubt":  "offer prepare ok persist fail restore fail undo ok nothing running repair ok nothing running nothing",
		"and that can't be written":    "offer prepare ok persist fail restore fail undo ok nothing running repair fail nothing running repair",
		"mended before the next":       "offer prepare ok persist fail restore fail undo ok nothing mended offer prepare ok persist",
		"mended within a repair":       "offer prepare ok persist fail restore fail undo ok nothing offer repair mended ok prepare ok persist",
		"the repair fails":             "offer prepare ok persist fail restore fail undo ok nothing offer repair fail nothing offer repair ok prepare fail nothing",
		"commit is too late":           "offer prepare ok persist ok commit fail restore ok undo ok nothing",
		"the node ends before":         "end offer! ",
		"the node ends in preparing":   "offer prepare end ok undo ok nothing offer!",
		"and preparing fails":          "offer prepare end fail nothing offer!",
		"the node ends in persisting":  "offer prepare ok persist end ok commit ok retire ok nothing",
		"the node ends in a repair":    "offer prepare ok persist fail restore fail undo ok nothing offer repair end ok nothing",
		"two at once":                  "offer prepare offer! ok persist offer! ok commit offer! ok retire offer! ok nothing offer prepare",
		"another after a failed one":   "offer prepare fail nothing offer prepare ok persist ok commit ok retire ok nothing",
		"stale once one has come":      "offer prepare ok persist ok commit ok retire ok nothing stale!",
		"and not after one that fails": "offer prepare fail nothing same prepare",
		"to what runs already":         "nothing! nothing offer prepare",
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMachine(runningOf(example(t), 1), false)
			first := m.Running()
			var step Step
			steps := map[string]Step{"nothing": Nothing, "repair": Repair, "prepare": Prepare, "persist": Persist, "commit": Commit,
				"restore": Restore, "undo": Undo, "retire": Retire}
			for i, word := range strings.Fields(script) {
				var err error
				switch word {
				case "offer", "offer!":
					step, err = m.Propose(scripted(t, m.Running(), 5+i))
				case "stale!", "same":
					step, err = m.Propose(scripted(t, first, 3))
				case "running":
					step, err = m.Propose(scripted(t, m.Running(), 4))
				case "nothing!":
					o := scripted(t, first, 4) // as the example has it
					if step, err = m.Propose(o); err != nil {
						t.Fatal(err)
					}
					continue
				case "ok":
					step = m.Done(nil)
				case "untouched":
					step = m.Done(fmt.Errorf("wrapped: %w", &UntouchedError{Err: errStep}))
				case "fail":
					step = m.Done(errStep)
				case "end":
					m.Shutdown()
					continue
				case "mended":
					m.Repaired()
					if m.Diverged() {
						t.Error("still diverged")
					}
					continue
				default:
					if want, known := steps[word]; !known || step != want {
						t.Fatalf("word %d: step %d, want %s", i, step, word)
					}
					continue
				}
				if refused := strings.HasSuffix(word, "!"); refused != (err != nil) {
					t.Fatalf("word %d, %s: %v", i, word, err)
				}
			}
		})
	}
}

// A refusal names what is under way, or what runs.
func TestRejectedProposals(t *testing.T) {
	m := NewMachine(runningOf(example(t), 1), false)
	if _, err := m.Propose(scripted(t, m.Running(), 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Propose(scripted(t, m.Running(), 3)); !errors.Is(err, ErrBusy) || !strings.Contains(err.Error(), "apply is preparing") {
		t.Errorf("%v", err)
	}
	m.Done(errStep)
	if !errors.Is(m.Err(), errStep) {
		t.Errorf("%v", m.Err())
	}
	stale := m.Running()
	stale.Serial = 9
	if _, err := m.Propose(scripted(t, stale, 2)); !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), "serial 1") {
		t.Errorf("%v", err)
	}
	other := scripted(t, m.Running(), 2)
	other.Config.Node.Name = "n2"
	if _, err := m.Propose(other); !errors.Is(err, ErrOtherNode) {
		t.Errorf("%v", err)
	}
	m.Shutdown()
	if _, err := m.Propose(scripted(t, m.Running(), 2)); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("%v", err)
	}
}

// disk is what a record on it may be.
type disk int

const (
	holdsOld disk = iota
	holdsNew
	unsure // a write failed halfway: one of the two
)

// For any order of offers, ends and outcomes: nothing is committed that was not prepared and persisted; what is
// prepared is committed or undone; what the disk holds is what runs, or the machine knows that it may not be;
// one change at a time, and none begins once the node ends.
func TestChangesAreAtomicInEveryOrder(t *testing.T) {
	configs := map[string]*config.Config{}
	for i := range 3 {
		c := example(t)
		c.Pools[0].MaxAttempts = i + 1
		configs[fmt.Sprint(i)] = c
	}
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(Running{Node: "annot-1", Lineage: "l", Serial: 1, Fingerprint: configs["0"].Fingerprint()}, false)
		prepared, persisted, ended := false, false, false
		onDisk := holdsOld
		step := Nothing
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			fails := rapid.IntRange(0, 3).Draw(t, "fails") == 0
			switch event := rapid.SampledFrom([]string{"offer", "done", "done", "done", "end"}).Draw(t, "event"); event {
			case "offer":
				before := m.Running()
				next, err := m.Propose(Proposal{By: "apply", Config: configs[fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "to"))], Base: before})
				if (step != Nothing || ended) && err == nil {
					t.Fatal("a second change at once, or one at the end")
				}
				if err == nil {
					step, prepared, persisted = next, false, false
				}
			case "end":
				if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
					m.Shutdown()
					ended = true
				}
			case "done":
				if step == Nothing {
					continue
				}
				var err error
				if fails && step != Undo && step != Retire {
					err = errStep
				}
				before := m.Running()
				switch step {
				case Repair, Restore:
					if err == nil {
						onDisk = holdsOld
					}
				case Prepare:
					prepared = err == nil
				case Persist:
					onDisk, persisted = unsure, err == nil
					if err == nil {
						onDisk = holdsNew
					} else if rapid.Bool().Draw(t, "untouched") {
						onDisk, err = holdsOld, &UntouchedError{Err: err}
					}
				case Commit:
					if !prepared || !persisted {
						t.Fatal("committed what was not ready")
					}
					if err == nil {
						prepared, onDisk = false, holdsOld // the new one is the old one from here on
					}
				case Undo:
					prepared = false
				}
				did := step
				step = m.Done(err)
				if (m.Running() != before) != (did == Commit && err == nil) {
					t.Fatal("what runs changed with another step than a commit")
				}
				if step == Nothing {
					if prepared {
						t.Fatal("what was prepared was neither committed nor undone")
					}
					if onDisk != holdsOld && !m.Diverged() {
						t.Fatal("the disk holds something else than what runs, and the machine does not know")
					}
				}
			}
		}
	})
}
