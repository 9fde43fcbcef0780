package upstream

import "time"

// inputKind is a kind of input that belongs to no request. HTTP/1.1 replies carry no id: on a reused connection such input can be
// taken for the reply to the next request. Its text is the key of the metric.
type inputKind string

// Values of inputKind.
const (
	inputBehindReply    inputKind = "behind_reply"   // directly behind a reply
	inputBeyondLength   inputKind = "beyond_length"  // directly behind the length of a reply, and no further reply: the reply was refused
	inputWhileIdle      inputKind = "while_idle"     // after a reply, before the next request
	inputBeforeWrite    inputKind = "before_write"   // as the next request is about to be written
	inputDuringWrite    inputKind = "during_write"   // before the next request was written completely
	inputUnacknowledged inputKind = "unacknowledged" // before the server's system had received the next request
	inputTooEarly       inputKind = "too_early"      // sooner after the next request than the server can reply
)

// recordUnattributed counts input of a server that belongs to no request, and makes connections to the server settle longer. The
// caller holds mu.
func (p *Pool) recordUnattributed(c *conn, kind inputKind) {
	switch kind {
	case inputBehindReply:
		p.recordGap(c, 0)
	case inputWhileIdle, inputBeforeWrite:
		p.recordGap(c, p.sinceReply(c))
	}
	p.counters.UnattributedInput(c.host.Server, string(kind))
	p.log.Info("input of a server belongs to no request",
		"server", c.host.Server,
		"connection", c.number,
		"uses", c.uses,
		"kind", kind,
		"last_request", c.requestID,
		"since_reply", p.sinceReply(c))
}

// sinceReply returns the time since the last reply on a connection ended, or since its connect. The caller holds mu.
func (p *Pool) sinceReply(c *conn) time.Duration { return p.clock.Now() - c.idleSince }
