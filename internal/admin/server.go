package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"damsontrestle/internal/listener"
	"damsontrestle/internal/plan"
)

// Bounds of what a client may make the daemon hold or wait for.
const (
	readTimeout = 30 * time.Second
	maxHeader   = 8 << 10
	maxRollback = 4 << 10 // the body of a rollback
	DefaultWait = 10 * time.Second
	MaxWait     = 10 * time.Minute
	dialTimeout = time.Second
)

// Server serves a Control on a Unix socket.
type Server struct {
	http *http.Server
}

// Listen opens the socket, with mode 0600. One that a daemon left behind when it was killed is taken over; one
// that is answered on is an error.
func Listen(path string) (net.Listener, error) {
	c, err := net.DialTimeout("unix", path, dialTimeout)
	switch {
	case err == nil:
		c.Close()
		return nil, fmt.Errorf("admin socket: %s: another daemon answers on it", path)
	case listener.IsTransient(err) || errors.Is(err, os.ErrDeadlineExceeded):
		// A shortage here, or a queue that is full there: a daemon that runs must not lose its socket for it.
		return nil, fmt.Errorf("admin socket: whether another daemon answers on it: %w", err)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("admin socket: %s is there and is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin socket: %w", err)
		}
	}
	// Nobody else may connect, not even between the making of the socket and a change of its mode.
	old := syscall.Umask(0o177)
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	return ln, nil
}

// NewServer serves on a listener, which Listen opened, until Close.
func NewServer(ln net.Listener, control Control, log *slog.Logger) *Server {
	s := &Server{http: &http.Server{
		Handler:        Handler(control),
		ReadTimeout:    readTimeout,
		IdleTimeout:    readTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	go s.http.Serve(listener.New(ln, log))
	return s
}

// Close ends the server; an answer that is being written is cut, what it tells of goes on.
func (s *Server) Close() { s.http.Close() }

// Shutdown ends the server once what it has been asked is answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Handler serves the requests of the package's comment.
func Handler(control Control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/show", func(w http.ResponseWriter, r *http.Request) {
		answer(w, http.StatusOK, control.Show())
	})
	mux.HandleFunc("POST /v1/apply", func(w http.ResponseWriter, r *http.Request) {
		change(w, r, plan.MaxSize, control.Apply)
	})
	mux.HandleFunc("POST /v1/rollback", func(w http.ResponseWriter, r *http.Request) {
		change(w, r, maxRollback, func(text []byte, wait time.Duration, step stepFunc) (plan.Running, error) {
			var now plan.Running
			if err := json.Unmarshal(text, &now); err != nil {
				return plan.Running{}, &Error{CodeRequest, "the request: " + err.Error()}
			}
			return control.Rollback(now, wait, step)
		})
	})
	return mux
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// change reads a complete request, has it carried out and tells of each step as it comes.
func change(w http.ResponseWriter, r *http.Request, maxBody int64, do func([]byte, time.Duration, stepFunc) (plan.Running, error)) {
	wait, err := waitOf(r)
	if err != nil {
		answer(w, http.StatusBadRequest, &Error{CodeRequest, err.Error()})
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			answer(w, http.StatusRequestEntityTooLarge, &Error{CodeRequest, fmt.Sprintf("the request is longer than %d bytes", maxBody)})
			return
		}
		answer(w, http.StatusBadRequest, &Error{CodeRequest, "the request is incomplete: " + err.Error()})
		return
	}
	lines := lineWriter{w: w}
	running, err := do(text, wait, func(name string, took time.Duration) {
		lines.write(Line{Step: name, Took: took.Round(time.Microsecond).String()})
	})
	if err == nil {
		lines.write(Line{Done: true, Running: &running})
		return
	}
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{CodeFailed, err.Error()}
	}
	if !lines.begun {
		answer(w, statusOf(e.Code), e)
		return
	}
	lines.write(Line{Done: true, Error: e.Message, Code: e.Code, Running: &running})
}

// stepFunc is called after each step of a change.
type stepFunc = func(name string, took time.Duration)

// lineWriter streams the lines of an answer.
type lineWriter struct {
	w     http.ResponseWriter
	begun bool // the status has been sent
}

func (l *lineWriter) write(line Line) {
	if !l.begun {
		l.begun = true
		l.w.Header().Set("Content-Type", "application/jsonl")
	}
	json.NewEncoder(l.w).Encode(line)
	http.NewResponseController(l.w).Flush()
}

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return DefaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > MaxWait {
		return 0, fmt.Errorf("wait: found %q; allowed: a time with a unit up to %v", text, MaxWait)
	}
	return wait, nil
}

func statusOf(code string) int {
	switch code {
	case CodeStale, CodeBusy, CodeOtherNode, CodeNothing:
		return http.StatusConflict
	case CodeEnding:
		return http.StatusServiceUnavailable
	case CodeUnreadable, CodeNewer, CodeInvalid, CodeRequest:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}
