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

// Format is the version of the plan format that this program writes and reads.
const Format = 1

// MaxSize is the maximum size of an encoded plan, in bytes.
const MaxSize = 64 << 20

// Running identifies a running configuration.
type Running struct {
	Node        string `json:"node"`
	Lineage     string `json:"lineage"`     // random; drawn when the node first stored a configuration in this state folder
	Incarnation string `json:"life"`        // random; drawn at each start of the process
	Serial      int64  `json:"serial"`      // incremented by each apply and rollback
	Fingerprint string `json:"fingerprint"` // of the configuration
}

// Source is the file that a plan was created from.
type Source struct {
	Path   string `json:"path"`
	Digest string `json:"digest"` // of its content
}

// Plan is a complete change, which can be applied only to the running configuration for which it was created.
type Plan struct {
	Format    int            `json:"format"`
	CreatedAt time.Time      `json:"made"`
	Base      Running        `json:"base"`   // the running configuration when it was created
	Source    Source         `json:"source"` // the file it was created from
	Socket    string         `json:"socket"` // the admin socket through which it was created
	Result    string         `json:"result"` // fingerprint of Config
	Config    *config.Config `json:"config"` // the complete new configuration
	Changes   []Change       `json:"changes"`
	Digest    string         `json:"digest"` // of all fields above
}

// New returns a plan for the change from the running configuration old, identified by base, to next.
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

// Digest returns the digest of a text in the format of Source.Digest.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

func (p *Plan) digest() string {
	q := *p
	q.Digest = ""
	text, err := json.Marshal(q)
	if err != nil { // only for a configuration that fails its checks
		return "sha256:invalid"
	}
	return Digest(text)
}

// Encode returns the JSON encoding of the plan.
func (p *Plan) Encode() ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("plan: encode: %w", err)
	}
	return append(text, '\n'), nil
}

// Errors of a plan that cannot be applied. They are wrapped in an error with the details.
var (
	// ErrUnreadable is returned for input that is truncated, edited or not a plan.
	ErrUnreadable = errors.New("the plan can't be read")
	// ErrNewer is returned for a plan that was created by a newer program.
	ErrNewer = errors.New("the plan is of a newer format")
	// ErrOtherNode is returned for a plan for another node.
	ErrOtherNode = errors.New("the plan is for another node")
	// ErrStale is returned if the running configuration is not the one for which the plan was created.
	ErrStale = errors.New("the plan is stale")
	// ErrInvalid is returned if a plan's configuration fails its checks.
	ErrInvalid = errors.New("the plan's configuration is not valid")
)

// Decode parses a plan and verifies its digest, the fingerprint of its configuration and the configuration itself.
func Decode(text []byte) (*Plan, error) {
	if len(text) > MaxSize {
		return nil, fmt.Errorf("%w: it is longer than the maximum of %v", ErrUnreadable, config.Size(MaxSize))
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
		return nil, fmt.Errorf("%w: format %d; this program reads %d: plan again with the node's program", ErrNewer, head.Format, Format)
	case head.Format < 1:
		return nil, fmt.Errorf("%w: it has no format version", ErrUnreadable)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var p Plan
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: unexpected data after the plan", ErrUnreadable)
	}
	switch {
	case p.Config == nil:
		return nil, fmt.Errorf("%w: it has no configuration", ErrUnreadable)
	case p.Digest != p.digest():
		return nil, fmt.Errorf("%w: it has been changed since it was created: its digest does not match", ErrUnreadable)
	case p.Result != p.Config.Fingerprint():
		return nil, fmt.Errorf("%w: the fingerprint of its configuration does not match", ErrUnreadable)
	}
	if err := p.Config.Check().Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &p, nil
}

// CheckBase returns nil if the plan may be applied to the running configuration, otherwise ErrOtherNode or ErrStale with details.
func (p *Plan) CheckBase(now Running) error {
	switch {
	case p.Base.Node != now.Node:
		return fmt.Errorf("%w: it is for %q, this node is %q", ErrOtherNode, p.Base.Node, now.Node)
	case p.Config.Node.Name != now.Node:
		return fmt.Errorf("%w: its configuration is for %q, this node is %q; a node's name cannot change", ErrOtherNode, p.Config.Node.Name, now.Node)
	case p.Base.Lineage != now.Lineage:
		return fmt.Errorf("%w: the node has initialized a new state folder since: plan again", ErrStale)
	case p.Base.Incarnation != now.Incarnation:
		return fmt.Errorf("%w: the node has been started again since: plan again", ErrStale)
	case p.Base.Serial != now.Serial || p.Base.Fingerprint != now.Fingerprint:
		return fmt.Errorf("%w: it was made for serial %d (%s), but serial %d (%s) is running: plan again", ErrStale,
			p.Base.Serial, ShortFingerprint(p.Base.Fingerprint), now.Serial, ShortFingerprint(now.Fingerprint))
	}
	return nil
}

// ShortFingerprint returns a fingerprint shortened for display.
func ShortFingerprint(fingerprint string) string {
	const n = len("sha256:") + 12
	if len(fingerprint) > n {
		return fingerprint[:n]
	}
	return fingerprint
}
