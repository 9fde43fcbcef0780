package plan

import (
	"fmt"
	"strings"
)

// Description describes the effect of the change for an operator.
func (c Change) Description() string {
	switch {
	case c.Kind == "listener" && c.Action == Add:
		return "begins to listen"
	case c.Kind == "listener" && c.Action == Remove:
		return "accepts no more; its callers are answered and let go"
	case c.Kind == "listener" && c.Effect == Drains:
		return "the old address or protocol accepts no more; its callers are answered"
	case c.Kind == "pool" && c.Action == Add:
		return "waits for its list before any call goes there"
	case c.Kind == "pool" && c.Action == Remove:
		return "gets no more calls; what it has is answered, then it closes"
	case c.Kind == "pool" && c.Effect == Drains:
		return "is made anew; the old one answers what it has, then it closes"
	case c.Kind == "node" && c.Effect == NeedsRestart:
		return "part of it needs a restart"
	}
	return string(c.Effect)
}

// Summary is the number of resources that a plan adds, changes and removes.
type Summary struct {
	Add    int `json:"add"`
	Change int `json:"change"`
	Remove int `json:"remove"`
}

// Summarize counts changes by their actions.
func Summarize(changes []Change) (s Summary) {
	for _, c := range changes {
		switch c.Action {
		case Add:
			s.Add++
		case Modify:
			s.Change++
		case Remove:
			s.Remove++
		}
	}
	return s
}

// RestartFields returns the changed fields that take effect only at the next start, such as "node.zone".
func RestartFields(changes []Change) (paths []string) {
	for _, c := range changes {
		for _, f := range c.Fields {
			if f.Effect == NeedsRestart {
				paths = append(paths, c.Kind+"."+f.Path)
			}
		}
	}
	return paths
}

// actionSigns are the signs that lines of FormatChanges begin with.
var actionSigns = map[Action]string{Add: "+", Modify: "~", Remove: "-"}

// FormatChanges returns the changes in the form shown to an operator.
func FormatChanges(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		c.writeTo(&b)
	}
	s := Summarize(changes)
	fmt.Fprintf(&b, "Plan: %d to add, %d to change, %d to remove.\n", s.Add, s.Change, s.Remove)
	return b.String()
}

func (c Change) writeTo(b *strings.Builder) {
	title := c.Kind
	if c.Name != "" {
		title = fmt.Sprintf("%s %q", c.Kind, c.Name)
	}
	fmt.Fprintf(b, "  %s %s: %s\n", actionSigns[c.Action], title, c.Description())
	width := 0
	for _, f := range c.Fields {
		width = max(width, len(f.Path))
	}
	for _, f := range c.Fields {
		fmt.Fprintf(b, "      %s %-*s = ", actionSigns[f.Action], width, f.Path)
		switch f.Action {
		case Add:
			fmt.Fprintf(b, "%s", f.New)
		case Remove:
			fmt.Fprintf(b, "%s", f.Old)
		case Modify:
			fmt.Fprintf(b, "%s -> %s", f.Old, f.New)
		}
		if c.Action == Modify {
			fmt.Fprintf(b, "  (%s)", f.Effect)
		}
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
}
