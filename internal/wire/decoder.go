package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"damsontrestle/internal/balancer"
)

const (
	listSlots      = 16      // number of lists that are stored
	readBufferSize = 1 << 20 // bytes
	noInstance     = -1
	flagRetry      = 2 // bit of a job_in line: the client marked the request as a retry
)

// Decoder decodes messages one at a time.
type Decoder struct {
	r        *bufio.Reader
	line     int
	inBatch  bool
	instance int
	lists    [listSlots][]balancer.Server
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, readBufferSize), instance: noInstance}
}

// readLine returns the next line without its line ending. It returns io.ErrUnexpectedEOF if the ending is missing.
func (d *Decoder) readLine() (string, error) {
	line, err := d.r.ReadString('\n')
	if err == io.EOF {
		if line == "" {
			return "", io.EOF
		}
		return "", io.ErrUnexpectedEOF
	}
	d.line++
	return strings.TrimRight(line, "\r\n"), err
}

// Next returns the next message. It returns io.EOF if the input ends between two batches, and an error that names the line
// if the input ends inside a batch or is invalid.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		if err == io.EOF && !d.inBatch {
			return Message{}, io.EOF
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return Message{}, fmt.Errorf("line %d: input ends inside a batch", d.line+1)
		}
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line+1, err)
		}
		if line == "" {
			continue
		}
		message, skip, err := d.decode(line)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if !skip {
			return message, nil
		}
	}
}

// decode decodes one line. skip is true for lines that only change the decoder's state.
func (d *Decoder) decode(line string) (message Message, skip bool, err error) {
	name, rest, _ := strings.Cut(line, "\t")
	if err := d.checkOrder(name); err != nil {
		return message, false, err
	}
	f := &fields{name: name, parts: strings.Split(rest, "\t")}
	message.Instance = d.instance
	switch name {
	case "sync":
		message.Kind = BatchStart
		message.Now = f.duration(0)
		d.inBatch = true
		d.instance = noInstance
	case "eob":
		message.Kind = BatchEnd
		d.inBatch = false
	case "about":
		d.decodeAbout(f)
		return message, true, f.err
	case "list":
		return message, true, d.decodeList(f)
	case "hello":
		message.Kind = InstanceStart
		message.Seed, message.Settings, err = decodeHello(f, rest)
		return message, false, err
	case "crash_now":
		message.Kind = InstanceKilled
	case "checked", "mail":
		message.Kind = Ignored
	default:
		message.Kind = Event
		message.Event, err = d.decodeEvent(f)
		return message, false, err
	}
	return message, false, f.err
}

// checkOrder returns an error for a line outside a batch, or before the line that names its instance.
func (d *Decoder) checkOrder(name string) error {
	if name == "sync" {
		if d.inBatch {
			return errors.New("sync inside a batch")
		}
		return nil
	}
	if !d.inBatch {
		return fmt.Errorf("%s outside a batch", quote(name))
	}
	switch name {
	case "eob", "list", "about":
		return nil
	}
	if d.instance < 0 {
		return fmt.Errorf("%s before an about line", quote(name))
	}
	return nil
}

// decodeAbout sets the instance of the lines that follow.
func (d *Decoder) decodeAbout(f *fields) {
	d.instance = f.integer(0)
	if f.err == nil && d.instance < 0 {
		f.fail(0, "is negative")
	}
}

// decodeHello decodes the seed and the settings of a new instance. The settings are the rest of the line, including tabs.
func decodeHello(f *fields, rest string) (seed uint64, settings balancer.Settings, err error) {
	seedText, settingsText, found := strings.Cut(rest, "\t")
	if !found {
		return 0, settings, errors.New("hello: settings are missing")
	}
	f.parts[0] = seedText
	seed = f.seed(0)
	if f.err != nil {
		return seed, settings, f.err
	}
	settings, err = ParseSettings([]byte(settingsText))
	return seed, settings, err
}

// decodeEvent decodes an event of an instance.
func (d *Decoder) decodeEvent(f *fields) (balancer.Event, error) {
	var event balancer.Event
	switch f.name {
	case "announce":
		event = d.decodeAnnounce(f)
	case "job_in":
		event = balancer.Request{
			ID:       f.text(0),
			Deadline: f.duration(1),
			Class:    f.text(3),
			Retry:    f.optInteger(4)&flagRetry != 0,
		}
	case "ring":
		event = balancer.Timer{Token: f.text(0)}
	case "outcome":
		event = balancer.Outcome{
			ID:      f.text(0),
			Server:  f.text(1),
			Latency: f.duration(2),
			Ended:   f.text(3) == "1",
			Attempt: f.integer(4),
			Result:  f.result(5),
			Load:    f.load(6),
		}
	case "timed_out_client":
		event = balancer.ClientDisconnected{ID: f.text(0)}
	case "flowing":
		event = balancer.Started{ID: f.text(0), Attempt: f.integer(3)}
	default:
		return nil, fmt.Errorf("unknown message %s", quote(f.name))
	}
	return event, f.err
}

// Modes of an announce line.
const (
	announceChanges = iota
	announceFull
	announceCached
	announceFailed
)

// decodeAnnounce decodes the announcement of a stored list or of a failed watch. It returns nil if a value is invalid.
func (d *Decoder) decodeAnnounce(f *fields) balancer.Event {
	mode := f.integer(0)
	switch mode {
	case announceChanges, announceFull, announceCached:
		n := f.integer(1)
		if f.err != nil {
			return nil
		}
		if n < 0 || n >= len(d.lists) {
			f.fail(1, "is not a list number")
			return nil
		}
		return balancer.ServerList{
			Full:    mode != announceChanges,
			Cached:  mode == announceCached,
			Servers: d.lists[n],
		}
	case announceFailed:
		return balancer.ListFailed{}
	}
	f.fail(0, "is not a mode")
	return nil
}

// decodeList reads the items of a list and stores the list under its number.
func (d *Decoder) decodeList(f *fields) error {
	number := f.integer(0)
	count := f.integer(1)
	if f.err != nil {
		return f.err
	}
	if number < 0 || number >= len(d.lists) || count < 0 {
		return errors.New("list: number or length out of range")
	}
	var servers []balancer.Server
	for i := range count {
		line, err := d.readLine()
		if err != nil {
			return fmt.Errorf("list: input ends after %d of %d items", i, count)
		}
		name, rest, _ := strings.Cut(line, "\t")
		if name != "item" {
			return fmt.Errorf("list: got %s, want item %d of %d", quote(name), i+1, count)
		}
		server, err := decodeItem(&fields{name: name, parts: strings.Split(rest, "\t")})
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	d.lists[number] = servers
	return nil
}

// States of a server on the wire.
const (
	stateDraining = iota
	stateRemoved
	stateReady
)

// decodeItem decodes one server of a list.
func decodeItem(f *fields) (balancer.Server, error) {
	server := balancer.Server{
		ID:   f.text(0),
		Zone: f.text(1),
		Cell: f.integer(3),
		Size: f.size(5),
		Boot: f.optDuration(6),
	}
	switch f.integer(4) {
	case stateReady:
		server.State = balancer.Ready
	case stateDraining:
		server.State = balancer.Draining
	case stateRemoved:
		server.State = balancer.Removed
	default:
		f.fail(4, "is not a state")
	}
	return server, f.err
}
