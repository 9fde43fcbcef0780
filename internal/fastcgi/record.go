// Package fastcgi is FastCGI 1.0 (the specification of 29 April 1996; sections are named by its numbers): records
// and name-value pairs, read and written within bounds and without allocating for each; the two sides of a
// connection as machines with no I/O (Application, WebServer); and Front, which serves web servers.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is a record's type (section 8, FCGI_BEGIN_REQUEST and so on).
type Type uint8

// Types of records.
const (
	BeginRequest    Type = 1
	AbortRequest    Type = 2
	EndRequest      Type = 3
	Params          Type = 4
	Stdin           Type = 5
	Stdout          Type = 6
	Stderr          Type = 7
	Data            Type = 8
	GetValues       Type = 9
	GetValuesResult Type = 10
	UnknownType     Type = 11
)

var typeNames = [...]string{BeginRequest: "BEGIN_REQUEST", AbortRequest: "ABORT_REQUEST", EndRequest: "END_REQUEST",
	Params: "PARAMS", Stdin: "STDIN", Stdout: "STDOUT", Stderr: "STDERR", Data: "DATA", GetValues: "GET_VALUES",
	GetValuesResult: "GET_VALUES_RESULT", UnknownType: "UNKNOWN_TYPE"}

// Known says that the specification has the type.
func (t Type) Known() bool { return t >= BeginRequest && t <= UnknownType }

func (t Type) String() string {
	if !t.Known() {
		return fmt.Sprintf("type %d", uint8(t))
	}
	return typeNames[t]
}

// management says that records of the type are of the connection, with id 0, and not of a request (section 3.3).
// Types that are not known may be either.
func (t Type) isManagement() bool { return t >= GetValues && t <= UnknownType }

// Role is what a request wants of its application (section 6.1).
type Role uint16

// Roles.
const (
	Responder  Role = 1
	Authorizer Role = 2
	Filter     Role = 3
)

// Status is how a request ended for the protocol (section 5.5). Overloaded and CantMultiplex prove that it has not run.
type Status uint8

// Protocol statuses.
const (
	Complete      Status = 0
	CantMultiplex Status = 1 // FCGI_CANT_MPX_CONN
	Overloaded    Status = 2
	UnknownRole   Status = 3
)

// Sizes on the wire.
const (
	version    = 1
	headerSize = 8
	bodySize   = 8     // of BEGIN_REQUEST, END_REQUEST and UNKNOWN_TYPE
	maxContent = 65535 // of a record
	keepConn   = 1     // flag of BEGIN_REQUEST (section 5.1)
)

// Error says what is wrong with a stream of records, and where.
type Error struct {
	Offset int64 // of the record's first byte in the stream
	Type   Type  // of the record, as far as it was read
	ID     uint16
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("fastcgi: %v of request %d at byte %d: %v", e.Type, e.ID, e.Offset, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// What can be wrong with a record.
var (
	ErrVersion      = errors.New("its version is not 1")
	ErrManagementID = errors.New("a management record bears a request's id")
	ErrZeroID       = errors.New("a request's record bears the id 0")
	ErrUnknownType  = errors.New("no record of a request has this type")
	ErrInvalidBody  = errors.New("its content has not the 8 bytes that it must have")
	ErrTruncated    = errors.New("the stream ends within it")
)

// Record is one record. Its Content is the reader's, until the next one is read.
type Record struct {
	Type    Type
	ID      uint16
	Content []byte
	Offset  int64 // of its first byte in the stream
}

// fail names the record in an error.
func (r Record) wrapError(err error) error { return &Error{r.Offset, r.Type, r.ID, err} }

// Begin is the body of BEGIN_REQUEST (section 5.1).
type Begin struct {
	Role Role
	Keep bool // the application is not to close the connection behind the request
}

// Begin reads the record's body.
func (r Record) Begin() (Begin, error) {
	if r.Type != BeginRequest || len(r.Content) != bodySize {
		return Begin{}, r.wrapError(ErrInvalidBody)
	}
	return Begin{Role(binary.BigEndian.Uint16(r.Content)), r.Content[2]&keepConn != 0}, nil
}

// End is the body of END_REQUEST (section 5.5).
type End struct {
	AppStatus uint32 // the application's status
	Status    Status
}

// End reads the record's body.
func (r Record) End() (End, error) {
	if r.Type != EndRequest || len(r.Content) != bodySize {
		return End{}, r.wrapError(ErrInvalidBody)
	}
	return End{binary.BigEndian.Uint32(r.Content), Status(r.Content[4])}, nil
}

// Reader reads records. It holds one record at a time, 64 KiB at most.
type Reader struct {
	in     io.Reader
	offset int64
	header [headerSize]byte
	buf    []byte
	err    error
}

// NewReader reads records from in, which had better be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads the next record. It returns io.EOF at the stream's end between two records, and else an *Error that
// names the record; every later request returns the same. Records of types that are not known come with id 0 only, for
// these have an answer (section 4.2).
func (r *Reader) Next() (Record, error) {
	if r.err != nil {
		return Record{}, r.err
	}
	rec, err := r.next()
	if err != nil {
		r.err = err
	}
	return rec, err
}

func (r *Reader) next() (Record, error) {
	rec := Record{Offset: r.offset}
	n, err := io.ReadFull(r.in, r.header[:])
	r.offset += int64(n)
	switch {
	case n == 0 && err == io.EOF:
		return rec, io.EOF
	case n > 1:
		rec.Type = Type(r.header[1])
	}
	if err != nil {
		return rec, rec.wrapError(truncated(err))
	}
	rec.ID = binary.BigEndian.Uint16(r.header[2:])
	switch {
	case r.header[0] != version:
		return rec, rec.wrapError(fmt.Errorf("%w but %d", ErrVersion, r.header[0]))
	case rec.Type.isManagement() && rec.ID != 0:
		return rec, rec.wrapError(ErrManagementID)
	case rec.Type.Known() && !rec.Type.isManagement() && rec.ID == 0:
		return rec, rec.wrapError(ErrZeroID)
	case !rec.Type.Known() && rec.ID != 0:
		return rec, rec.wrapError(ErrUnknownType)
	}
	length := int(binary.BigEndian.Uint16(r.header[4:]))
	size := length + int(r.header[6]) // the padding is read with it and thrown away
	if cap(r.buf) < size {
		r.buf = make([]byte, bufferSize(size))
	}
	n, err = io.ReadFull(r.in, r.buf[:size])
	if r.offset += int64(n); err != nil {
		return rec, rec.wrapError(truncated(err))
	}
	rec.Content = r.buf[:length]
	return rec, nil
}

// roundUp keeps buffers to a few sizes: most records are small, and some as long as they can be.
func bufferSize(size int) int {
	for capacity := 512; ; capacity *= 4 {
		if size <= capacity {
			return capacity
		}
	}
}

func truncated(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrTruncated
	}
	return err
}

// Writer writes records, several in one write. After a write that failed it writes nothing any more: what was written may end
// within a record, and whatever follows would be read as the rest of that. It is not safe for several goroutines.
type Writer struct {
	out io.Writer
	buf []byte
	err error // of the write that failed
}

// flushAt is how much is kept at most before it is written.
const maxBuffered = 64 << 10

// NewWriter writes records to out. Nothing is written before Flush but what would be too much to keep.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Flush writes what is kept.
func (w *Writer) Flush() error {
	if len(w.buf) == 0 || w.err != nil {
		return w.err
	}
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		w.err = fmt.Errorf("fastcgi: write: %w", err)
	}
	return w.err
}

// record keeps one record, padded to a multiple of 8 bytes (section 3.3 recommends it).
func (w *Writer) writeRecord(t Type, id uint16, content []byte) error {
	if w.err != nil {
		return w.err
	}
	padding := -len(content) & 7
	if len(w.buf)+headerSize+len(content)+padding > maxBuffered {
		if err := w.Flush(); err != nil {
			return err
		}
	}
	w.buf = append(w.buf, version, byte(t))
	w.buf = binary.BigEndian.AppendUint16(w.buf, id)
	w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(content)))
	w.buf = append(w.buf, byte(padding), 0)
	w.buf = append(w.buf, content...)
	w.buf = append(w.buf, make([]byte, padding)...)
	return nil
}

// Begin begins a request.
func (w *Writer) Begin(id uint16, b Begin) error {
	var body [bodySize]byte
	binary.BigEndian.PutUint16(body[:], uint16(b.Role))
	if b.Keep {
		body[2] = keepConn
	}
	return w.writeRecord(BeginRequest, id, body[:])
}

// Abort asks for a request's end.
func (w *Writer) Abort(id uint16) error { return w.writeRecord(AbortRequest, id, nil) }

// End ends a request.
func (w *Writer) End(id uint16, e End) error {
	var body [bodySize]byte
	binary.BigEndian.PutUint32(body[:], e.AppStatus)
	body[4] = byte(e.Status)
	return w.writeRecord(EndRequest, id, body[:])
}

// Stream writes bytes of a stream, in as many records as they need; none for no bytes, which would end it.
func (w *Writer) Stream(t Type, id uint16, p []byte) error {
	const maxChunk = maxContent &^ 7 // needs no padding
	for len(p) > 0 {
		n := min(len(p), maxChunk)
		if err := w.writeRecord(t, id, p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// CloseStream ends a stream (section 3.3: a record without content).
func (w *Writer) CloseStream(t Type, id uint16) error { return w.writeRecord(t, id, nil) }

// Values asks for values, or answers with them, as pairs that AppendPair has made.
func (w *Writer) Values(t Type, pairs []byte) error {
	if len(pairs) > maxContent {
		return fmt.Errorf("fastcgi: %v: %d bytes of pairs, at most %d fit in", t, len(pairs), maxContent)
	}
	return w.writeRecord(t, 0, pairs)
}

// Unknown answers a management record of a type that is not known (section 4.2).
func (w *Writer) Unknown(t Type) error {
	return w.writeRecord(UnknownType, 0, []byte{byte(t), 0, 0, 0, 0, 0, 0, 0})
}
