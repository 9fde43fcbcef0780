package replication

import (
	"context"
	"fmt"
)

// send asks voters something without waiting; each word is told as it comes.
func (w *Work) send(topic string, message func(Gateway) any, told func(word)) {
	c := w.c
	for _, v := range w.r.Voters {
		if v.Name == c.o.Self.Name {
			told(c.own(topic, message(v)))
			continue
		}
		c.put(v, topic, message(v), func(said *word) {
			if said != nil {
				told(*said)
			}
		})
	}
}

// own is this gateway's own word as a voter.
func (c *Custodian) own(topic string, message any) word {
	switch m := message.(type) {
	case recordMsg:
		if topic == topicClaim {
			return c.claim(m)
		}
		return c.record(m)
	case intendMsg:
		return c.intend(m)
	case settleMsg:
		return c.settle(m)
	}
	panic(fmt.Sprintf("custody: %s is asked of nobody", topic)) // a defect of this package
}

// put sends a question to a voter. told hears its word once, on the link's reader, or nil where none comes; it must not block.
// nil: the voter is not to be reached in the life that the record names, and told hears nothing.
func (c *Custodian) put(v Gateway, topic string, message any, told func(*word)) (forget func()) {
	l := c.o.Links.To(v.Name)
	if l == nil || l.Peer.Life != v.Life {
		return nil
	}
	forget, err := l.AskThen(topic, message, func(read func(any) error) {
		var said word
		if read(&said) != nil {
			told(nil)
			return
		}
		told(&said)
	})
	if err != nil {
		return nil
	}
	return forget
}

// poll asks all voters at once, and returns when enough of them have said yes, or can't any more, or ctx ends.
func (c *Custodian) poll(ctx context.Context, voters []Gateway, topic string, message func(Gateway) any) (yes, no []word) {
	words := make(chan *word, len(voters))
	for _, v := range voters {
		if v.Name == c.o.Self.Name {
			said := c.own(topic, message(v))
			words <- &said
			continue
		}
		forget := c.put(v, topic, message(v), func(said *word) { words <- said })
		if forget == nil {
			words <- nil
			continue
		}
		defer forget()
	}
	need := Majority(len(voters))
	for left := len(voters); left > 0; left-- {
		var said *word
		select {
		case said = <-words:
		case <-ctx.Done():
			return yes, no
		}
		switch {
		case said == nil:
		case said.Verdict == Yes:
			yes = append(yes, *said)
		default:
			no = append(no, *said)
		}
		if len(yes) >= need || len(yes)+left-1 < need && len(no) > 0 {
			break
		}
	}
	return yes, no
}
