// Package fastcgi implements FastCGI 1.0 (specification of 29 April 1996, whose section numbers the comments cite).
// Reader, Writer and Pairs decode and encode records and name-value pairs within limits and without an allocation for
// each; Application and WebServer are the two sides of a connection as state machines without I/O; and Front serves
// web servers.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is the type of a record (section 8, FCGI_BEGIN_REQUEST and so on).
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

// Known reports whether the specification defines the type.
func (t Type) Known() bool { return t >= BeginRequest && t <= UnknownType }

func (t Type) String() string {
	if !t.Known() {
		return fmt.Sprintf("type %d", uint8(t))
	}
	return typeNames[t]
}

// isManagement reports whether records of a known type belong to the connection, with id 0, and not to a request
// (section 3.3). Unknown types may be either, and it returns false for them.
func (t Type) isManagement() bool { return t >= GetValues && t <= UnknownType }

// Role is the role in which the application handles a request (section 6.1).
type Role uint16

// Roles.
const (
	Responder  Role = 1
	Authorizer Role = 2
	Filter     Role = 3
)

// Status is the protocol status of an ended request (section 5.5). Overloaded and CantMultiplex guarantee that the
// application did not run it.
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

// Error is an error of a stream of records, with the position of the record.
type Error struct {
	Offset int64 // of the record's first byte in the stream
	Type   Type  // of the record; 0 if it was not read
	ID     uint16
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("fastcgi: %v of request %d at byte %d: %v", e.Type, e.ID, e.Offset, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Errors of a record.
var (
	ErrVersion      = errors.New("unsupported protocol version")
	ErrManagementID = errors.New("management record with a request id")
	ErrZeroID       = errors.New("request record with id 0")
	ErrUnknownType  = errors.New("unknown type of a request record")
	ErrInvalidBody  = errors.New("invalid body: want 8 bytes with a known status")
	ErrTruncated    = errors.New("unexpected end of stream within the record")
)

// Record is one record. Its Content is valid until the Reader reads the next record.
type Record struct {
	Type    Type
	ID      uint16
	Content []byte
	Offset  int64 // of its first byte in the stream
}

// wrapError returns err as an *Error of the record.
func (r Record) wrapError(err error) error { return &Error{r.Offset, r.Type, r.ID, err} }

// Begin is the body of BEGIN_REQUEST (section 5.1).
type Begin struct {
	Role Role
	Keep bool // the application must not close the connection after the request
}

// Begin decodes the body of a BEGIN_REQUEST record.
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

// End decodes the body of an END_REQUEST record.
func (r Record) End() (End, error) {
	if r.Type != EndRequest || len(r.Content) != bodySize {
		return End{}, r.wrapError(ErrInvalidBody)
	}
	return End{binary.BigEndian.Uint32(r.Content), Status(r.Content[4])}, nil
}

// Reader reads records. It buffers one record at a time, of at most 64 KiB.
type Reader struct {
	in     io.Reader
	offset int64
	header [headerSize]byte
	buf    []byte
	err    error
}

// NewReader returns a Reader of in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads the next record. At the end of the stream it returns io.EOF between two records and otherwise an *Error
// that names the record, as for any other failure; every later call returns the same error. It returns records of
// unknown types only with id 0, as only these can be answered (section 4.2).
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
		return rec, rec.wrapError(fmt.Errorf("%w: got %d, want 1", ErrVersion, r.header[0]))
	case rec.Type.isManagement() && rec.ID != 0:
		return rec, rec.wrapError(ErrManagementID)
	case rec.Type.Known() && !rec.Type.isManagement() && rec.ID == 0:
		return rec, rec.wrapError(ErrZeroID)
	case !rec.Type.Known() && rec.ID != 0:
		return rec, rec.wrapError(ErrUnknownType)
	}
	length := int(binary.BigEndian.Uint16(r.header[4:]))
	size := length + int(r.header[6]) // padding is read along with the content and discarded
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

// bufferSize rounds size up to one of a few buffer sizes: most records are small, and some have the maximum size.
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

// Writer writes records, several in one write. After a failed write it writes nothing more: the output may end within
// a record, and anything that follows would be read as the rest of it. It is not safe for concurrent use.
type Writer struct {
	out io.Writer
	buf []byte
	err error // of the failed write
}

// maxBuffered is the number of bytes that a Writer buffers before it writes them.
const maxBuffered = 64 << 10

// NewWriter returns a Writer to out. It buffers records until Flush, or until the next record would exceed maxBuffered.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Flush writes the buffered records.
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

// writeRecord buffers one record, padded to a multiple of 8 bytes as section 3.3 recommends.
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

// Abort asks the application to end a request.
func (w *Writer) Abort(id uint16) error { return w.writeRecord(AbortRequest, id, nil) }

// End ends a request.
func (w *Writer) End(id uint16, e End) error {
	var body [bodySize]byte
	binary.BigEndian.PutUint32(body[:], e.AppStatus)
	body[4] = byte(e.Status)
	return w.writeRecord(EndRequest, id, body[:])
}

// Stream writes bytes of a stream in as many records as needed. It writes no record for empty p, as that would end the
// stream.
func (w *Writer) Stream(t Type, id uint16, p []byte) error {
	const maxChunk = maxContent &^ 7 // multiple of 8, so that full records need no padding
	for len(p) > 0 {
		n := min(len(p), maxChunk)
		if err := w.writeRecord(t, id, p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// CloseStream ends a stream with an empty record (section 3.3).
func (w *Writer) CloseStream(t Type, id uint16) error { return w.writeRecord(t, id, nil) }

// Values writes a GET_VALUES or GET_VALUES_RESULT record with pairs encoded by AppendPair.
func (w *Writer) Values(t Type, pairs []byte) error {
	if len(pairs) > maxContent {
		return fmt.Errorf("fastcgi: write %v: %d bytes of pairs exceed the maximum content of %d", t, len(pairs), maxContent)
	}
	return w.writeRecord(t, 0, pairs)
}

// Unknown answers a management record of an unknown type (section 4.2).
func (w *Writer) Unknown(t Type) error {
	return w.writeRecord(UnknownType, 0, []byte{byte(t), 0, 0, 0, 0, 0, 0, 0})
}
