package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"damsontrestle/internal/balancer"
)

// writeBufferSize is the size of an Encoder's buffer in bytes.
const writeBufferSize = 1 << 16

// Encoder encodes replies.
type Encoder struct {
	w        *bufio.Writer
	instance int
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, writeBufferSize), instance: noInstance}
}

// formatMilliseconds formats a duration as a number of milliseconds.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

// Action appends one action of an instance to the reply.
func (e *Encoder) Action(instance int, a balancer.Action) {
	if instance != e.instance {
		fmt.Fprintf(e.w, "instance\t%d\n", instance)
		e.instance = instance
	}
	switch a := a.(type) {
	case balancer.Send:
		fmt.Fprintf(e.w, "forward\t%s\t%s\t%s\n", a.ID, a.Server, formatMilliseconds(a.Timeout))
	case balancer.Cancel:
		fmt.Fprintf(e.w, "retract\t%s\t%d\n", a.ID, a.Attempt)
	case balancer.CloseIdle:
		fmt.Fprintf(e.w, "let_go\t%s\n", a.Server)
	case balancer.Reject:
		fmt.Fprintf(e.w, "turn_away\t%s\t%s\n", a.ID, formatMilliseconds(a.RetryAfter))
	case balancer.Fail:
		fmt.Fprintf(e.w, "report_failure\t%s\n", a.ID)
	case balancer.SetTimer:
		fmt.Fprintf(e.w, "remind\t%s\t%s\n", formatMilliseconds(a.At), a.Token)
	case balancer.Subscribe:
		fmt.Fprint(e.w, "subscribe\t1\n")
	}
}

// Flush ends the reply and writes it out.
func (e *Encoder) Flush() error {
	e.instance = noInstance
	e.w.WriteString("yield\n")
	return e.w.Flush()
}
