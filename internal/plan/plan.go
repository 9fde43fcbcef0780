package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"damsontrestle/internal/config"
)

// Format is the version of a plan's form that this program writes and reads.
const Format = 1

// MaxPlan is how long a plan may be.
const MaxSize = 64 << 20

// Running names a configuration that runs.
type Running struct {
	Node        string `json:"node"`
	Lineage     string `json:"lineage"`     // drawn when the node first took a configuration for this state folder
	Incarnation string `json:"life"`        // drawn at each start of the process
	Serial      int64  `json:"serial"`      // one more with each apply and rollback
	Fingerprint string `json:"fingerprint"` // of the configuration
}

// Source is the file that a plan was made from.
type Source struct {
	Path   string `json:"path"`
	Digest string `json:"digest"` // of its text
}

// Plan is a change that can be applied as it is, and only to what it was made for.
type Plan struct {
	Format    int            `json:"format"`
	CreatedAt time.Time      `json:"made"`
	Base      Running        `json:"base"`   // what ran when it was made
	Source    Source         `json:"source"` // what it was made from
	Socket    string         `json:"socket"` // the admin socket that it was made through
	Result    string         `json:"result"` // fingerprint of the configuration
	Config    *config.Config `json:"config"` // complete
	Changes   []Change       `json:"changes"`
	Digest    string         `json:"digest"` // of all the above
}

// Make plans the change from what runs to another configuration.
func New(base Running, old, next *config.Config, source Source, socket string, now time.Time) *Plan {
	p := &Plan{
		Format:    Format,
		CreatedAt: now.UTC().Truncate(time.Second),
		Base:      base,
		Source:    source,
		Socket:    socket,
		Result:    next.Fingerprint(),
		Config:    next,
		Changes:   Diff(old, next),
	}
	p.Digest = p.digest()
	return p
}

// Digest of a text, as a Source holds it.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

func (p *Plan) digest() string {
	q := *p
	q.Digest = ""
	text, err := json.Marshal(q)
	if err != nil { // nothing that can be planned
		return "sha256:invalid"
	}
	return Digest(text)
}

// Encode writes a plan.
func (p *Plan) Encode() ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return append(text, '\n'), nil
}

// Errors of a plan that can't be applied. Each comes with words about what is wrong in particular.
var (
	// ErrUnreadable says that a plan is cut short, edited, or none.
	ErrUnreadable = errors.New("the plan can't be read")
	// ErrNewer says that a plan was made by a newer program.
	ErrNewer = errors.New("the plan is of a newer format")
	// ErrOtherNode says that a plan is for another node.
	ErrOtherNode = errors.New("the plan is for another node")
	// ErrStale says that something else runs than what the plan was made for.
	ErrStale = errors.New("the plan is stale")
	// ErrInvalid says that a plan's configuration does not pass the checks.
	ErrInvalid = errors.New("the plan's configuration is not valid")
)

// Decode reads a plan and holds it against its own digests.
func Decode(text []byte) (*Plan, error) {
	if len(text) > MaxSize {
		return nil, fmt.Errorf("%w: it is longer than %v", ErrUnreadable, config.Size(MaxSize))
	}
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) && syntax.Offset >= int64(len(bytes.TrimSpace(text))) {
			return nil, fmt.Errorf("%w: it is cut short after %d bytes", ErrUnreadable, len(text))
		}
		return nil, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	switch {
	case head.Format > Format:
		return nil, fmt.Errorf("%w: %d; this program reads %d: plan again with the program that runs", ErrNewer, head.Format, Format)
	case head.Format < 1:
		return nil, fmt.Errorf("%w: it holds no format", ErrUnreadable)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var p Plan
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: something follows it", ErrUnreadable)
	}
	switch {
	case p.Config == nil:
		return nil, fmt.Errorf("%w: it holds no configuration", ErrUnreadable)
	case p.Digest != p.digest():
		return nil, fmt.Errorf("%w: it has been changed since it was made: its digest does not fit", ErrUnreadable)
	case p.Result != p.Config.Fingerprint():
		return nil, fmt.Errorf("%w: its configuration has another fingerprint than it says", ErrUnreadable)
	}
	if err := p.Config.Check().Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &p, nil
}

// Fits says whether a plan may be applied to what runs now.
func (p *Plan) CheckBase(now Running) error {
	switch {
	case p.Base.Node != now.Node:
		return fmt.Errorf("%w: it is for %q, this is %q", ErrOtherNode, p.Base.Node, now.Node)
	case p.Config.Node.Name != now.Node:
		return fmt.Errorf("%w: it would make %q of %q: a node never changes its name", ErrOtherNode, p.Config.Node.Name, now.Node)
	case p.Base.Lineage != now.Lineage:
		return fmt.Errorf("%w: the node has begun a new state since: plan again", ErrStale)
	case p.Base.Incarnation != now.Incarnation:
		return fmt.Errorf("%w: the node has been started again since: plan again", ErrStale)
	case p.Base.Serial != now.Serial || p.Base.Fingerprint != now.Fingerprint:
		return fmt.Errorf("%w: it was made for serial %d (%s), and serial %d (%s) runs: plan again", ErrStale,
			p.Base.Serial, ShortFingerprint(p.Base.Fingerprint), now.Serial, ShortFingerprint(now.Fingerprint))
	}
	return nil
}

// Short is a fingerprint for people.
func ShortFingerprint(fingerprint string) string {
	const n = len("sha256:") + 12
	if len(fingerprint) > n {
		return fingerprint[:n]
	}
	return fingerprint
}
