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

// attemptsProposal returns a proposal that changes only the attempts of the first pool.
func attemptsProposal(t testing.TB, base Running, attempts int) Proposal {
	next := example(t)
	next.Pools[0].MaxAttempts = attempts
	return Proposal{Origin: "apply", Config: next, Base: base}
}

var errStep = errors.New("step failed")

// Each script lists events (a proposal, a shutdown, the result of the last step), each followed by the expected
// next step.
func TestApplySteps(t *testing.T) {
	for name, script := range map[string]string{
		"all steps succeed": "propose prepare ok persist ok commit ok retire ok nothing",
		"prepare fails":     "propose prepare fail nothing",
		"persist fails":     "propose prepare ok persist fail restore ok undo ok nothing",
		"persist fails and leaves the record unchanged":                  "propose prepare ok persist untouched undo ok nothing propose prepare",
		"persist and restore fail":                                       "propose prepare ok persist fail restore fail undo ok nothing propose repair ok prepare ok persist ok commit ok retire ok nothing",
		"running configuration proposed while diverged":                  "propose prepare ok persist fail restore fail undo ok nothing running repair ok nothing running nothing",
		"running configuration proposed while diverged and repair fails": "propose prepare ok persist fail restore fail undo ok nothing running repair fail nothing running repair",
		"repaired before the next change":                                "propose prepare ok persist fail restore fail undo ok nothing repaired propose prepare ok persist",
		"repaired during a repair":                                       "propose prepare ok persist fail restore fail undo ok nothing propose repair repaired ok prepare ok persist",
		"repair fails":                                                   "propose prepare ok persist fail restore fail undo ok nothing propose repair fail nothing propose repair ok prepare fail nothing",
		"commit fails":                                                   "propose prepare ok persist ok commit fail restore ok undo ok nothing",
		"shutdown before a change":                                       "shutdown propose! ",
		"shutdown during prepare":                                        "propose prepare shutdown ok undo ok nothing propose!",
		"shutdown during a prepare that fails":                           "propose prepare shutdown fail nothing propose!",
		"shutdown during persist":                                        "propose prepare ok persist shutdown ok commit ok retire ok nothing",
		"shutdown during a repair":                                       "propose prepare ok persist fail restore fail undo ok nothing propose repair shutdown ok nothing",
		"proposals during a change":                                      "propose prepare propose! ok persist propose! ok commit propose! ok retire propose! ok nothing propose prepare",
		"change after a failed one":                                      "propose prepare fail nothing propose prepare ok persist ok commit ok retire ok nothing",
		"stale after a change":                                           "propose prepare ok persist ok commit ok retire ok nothing stale!",
		"not stale after a failed change":                                "propose prepare fail nothing same prepare",
		"running configuration proposed":                                 "nothing! nothing propose prepare",
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
				case "propose", "propose!":
					step, err = m.Propose(attemptsProposal(t, m.Running(), 5+i))
				case "stale!", "same":
					step, err = m.Propose(attemptsProposal(t, first, 3))
				case "running":
					step, err = m.Propose(attemptsProposal(t, m.Running(), 4))
				case "nothing!":
					o := attemptsProposal(t, first, 4) // the value of the example
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
				case "shutdown":
					m.Shutdown()
					continue
				case "repaired":
					m.Repaired()
					if m.Diverged() {
						t.Error("still diverged after Repaired")
					}
					continue
				default:
					if want, known := steps[word]; !known || step != want {
						t.Fatalf("word %d: step %v, want %s", i, step, word)
					}
					continue
				}
				if refused := strings.HasSuffix(word, "!"); refused != (err != nil) {
					t.Fatalf("word %d, %s: unexpected result: %v", i, word, err)
				}
			}
		})
	}
}

// The error of a rejected proposal names the change in progress or the running configuration.
func TestRejectedProposals(t *testing.T) {
	m := NewMachine(runningOf(example(t), 1), false)
	if _, err := m.Propose(attemptsProposal(t, m.Running(), 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Propose(attemptsProposal(t, m.Running(), 3)); !errors.Is(err, ErrBusy) || !strings.Contains(err.Error(), "apply is preparing") {
		t.Errorf("proposal during a change: got error %v, want %v", err, ErrBusy)
	}
	m.Done(errStep)
	if !errors.Is(m.Err(), errStep) {
		t.Errorf("after a failed step: Err returned %v, want %v", m.Err(), errStep)
	}
	stale := m.Running()
	stale.Serial = 9
	if _, err := m.Propose(attemptsProposal(t, stale, 2)); !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), "serial 1") {
		t.Errorf("stale proposal: got error %v, want %v", err, ErrStale)
	}
	other := attemptsProposal(t, m.Running(), 2)
	other.Config.Node.Name = "n2"
	if _, err := m.Propose(other); !errors.Is(err, ErrOtherNode) {
		t.Errorf("proposal for another node: got error %v, want %v", err, ErrOtherNode)
	}
	m.Shutdown()
	if _, err := m.Propose(attemptsProposal(t, m.Running(), 2)); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("proposal after a shutdown: got error %v, want %v", err, ErrShuttingDown)
	}
}

// diskRecord is the record that the disk holds.
type diskRecord int

const (
	oldRecord diskRecord = iota
	newRecord
	unknownRecord // a write failed: either of the two
)

// For any order of proposals, shutdowns and step results: only a change that was prepared and persisted is
// committed; what was prepared is committed or undone; the disk holds the running configuration, or the machine
// reports that they may differ; only one change is in progress at a time, and none begins after a shutdown.
func TestChangesAreAtomicInEveryOrder(t *testing.T) {
	configs := map[string]*config.Config{}
	for i := range 3 {
		c := example(t)
		c.Pools[0].MaxAttempts = i + 1
		configs[fmt.Sprint(i)] = c
	}
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(Running{Node: "annot-1", Lineage: "l", Serial: 1, Fingerprint: configs["0"].Fingerprint()}, false)
		prepared, persisted, shutDown := false, false, false
		onDisk := oldRecord
		step := Nothing
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			fails := rapid.IntRange(0, 3).Draw(t, "fails") == 0
			switch event := rapid.SampledFrom([]string{"propose", "done", "done", "done", "shutdown"}).Draw(t, "event"); event {
			case "propose":
				before := m.Running()
				next, err := m.Propose(Proposal{Origin: "apply", Config: configs[fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "to"))], Base: before})
				if (step != Nothing || shutDown) && err == nil {
					t.Fatal("a proposal was accepted during another change or after a shutdown")
				}
				if err == nil {
					step, prepared, persisted = next, false, false
				}
			case "shutdown":
				if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
					m.Shutdown()
					shutDown = true
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
						onDisk = oldRecord
					}
				case Prepare:
					prepared = err == nil
				case Persist:
					onDisk, persisted = unknownRecord, err == nil
					if err == nil {
						onDisk = newRecord
					} else if rapid.Bool().Draw(t, "untouched") {
						onDisk, err = oldRecord, &UntouchedError{Err: err}
					}
				case Commit:
					if !prepared || !persisted {
						t.Fatal("a change was committed that was not prepared and persisted")
					}
					if err == nil {
						prepared, onDisk = false, oldRecord // the new record is the old one from now on
					}
				case Undo:
					prepared = false
				}
				did := step
				step = m.Done(err)
				if (m.Running() != before) != (did == Commit && err == nil) {
					t.Fatal("the running configuration changed in a step other than a successful commit, or did not change in one")
				}
				if step == Nothing {
					if prepared {
						t.Fatal("a prepared configuration was neither committed nor undone")
					}
					if onDisk != oldRecord && !m.Diverged() {
						t.Fatal("the disk may hold another record than the running configuration's, but Diverged returns false")
					}
				}
			}
		}
	})
}
