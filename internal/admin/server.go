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

// Bounds on a client's requests, and defaults.
const (
	readTimeout      = 30 * time.Second
	maxHeaderBytes   = 8 << 10
	maxRollbackBytes = 4 << 10 // body of a rollback
	DefaultWait      = 10 * time.Second
	MaxWait          = 10 * time.Minute
	dialTimeout      = time.Second
)

// Server serves a Control on a Unix socket.
type Server struct {
	http *http.Server
}

// Listen opens the socket with mode 0600. It replaces the socket of a daemon that was killed, and returns an error if a daemon
// answers on it.
func Listen(path string) (net.Listener, error) {
	c, err := net.DialTimeout("unix", path, dialTimeout)
	switch {
	case err == nil:
		c.Close()
		return nil, fmt.Errorf("admin socket: %s: another daemon answers on it", path)
	case listener.IsTransient(err) || errors.Is(err, os.ErrDeadlineExceeded):
		// A shortage of resources here, or a full accept queue there: a running daemon must not lose its socket for either.
		return nil, fmt.Errorf("admin socket: checking whether another daemon answers on it: %w", err)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("admin socket: %s exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin socket: %w", err)
		}
	}
	// Other users must not be able to connect even between the creation of the socket and a change of its mode.
	oldMask := syscall.Umask(0o177)
	ln, err := net.Listen("unix", path)
	syscall.Umask(oldMask)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	return ln, nil
}

// NewServer starts a server on a listener from Listen. It runs until Close or Shutdown.
func NewServer(ln net.Listener, control Control, log *slog.Logger) *Server {
	s := &Server{http: &http.Server{
		Handler:        Handler(control),
		ReadTimeout:    readTimeout,
		IdleTimeout:    readTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	go s.http.Serve(listener.New(ln, log))
	return s
}

// Close stops the server immediately. Responses in progress are truncated; their changes continue.
func (s *Server) Close() { s.http.Close() }

// Shutdown stops the server once all requests have been answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Handler serves the requests that the package comment lists.
func Handler(control Control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/show", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, control.Show())
	})
	mux.HandleFunc("POST /v1/apply", func(w http.ResponseWriter, r *http.Request) {
		serveChange(w, r, plan.MaxSize, control.Apply)
	})
	mux.HandleFunc("POST /v1/rollback", func(w http.ResponseWriter, r *http.Request) {
		serveChange(w, r, maxRollbackBytes, func(text []byte, wait time.Duration, step stepFunc) (plan.Running, error) {
			var current plan.Running
			if err := json.Unmarshal(text, &current); err != nil {
				return plan.Running{}, &Error{CodeRequest, "decoding the request: " + err.Error()}
			}
			return control.Rollback(current, wait, step)
		})
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// serveChange reads a complete request, executes it and streams its steps.
func serveChange(w http.ResponseWriter, r *http.Request, maxBody int64, execute func([]byte, time.Duration, stepFunc) (plan.Running, error)) {
	wait, err := parseWait(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, &Error{CodeRequest, err.Error()})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			writeJSON(w, http.StatusRequestEntityTooLarge, &Error{CodeRequest, fmt.Sprintf("the request is longer than %d bytes", maxBody)})
			return
		}
		writeJSON(w, http.StatusBadRequest, &Error{CodeRequest, "the request is incomplete: " + err.Error()})
		return
	}
	events := eventWriter{w: w}
	running, err := execute(body, wait, func(name string, took time.Duration) {
		events.write(ChangeEvent{Step: name, Took: took.Round(time.Microsecond).String()})
	})
	if err == nil {
		events.write(ChangeEvent{Done: true, Running: &running})
		return
	}
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{CodeFailed, err.Error()}
	}
	if !events.started {
		writeJSON(w, httpStatus(e.Code), e)
		return
	}
	events.write(ChangeEvent{Done: true, Error: e.Message, Code: e.Code, Running: &running})
}

// stepFunc is called after each step of a change.
type stepFunc = func(name string, took time.Duration)

// eventWriter streams the lines of a response.
type eventWriter struct {
	w       http.ResponseWriter
	started bool // the status has been sent
}

func (e *eventWriter) write(event ChangeEvent) {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "application/jsonl")
	}
	json.NewEncoder(e.w).Encode(event)
	http.NewResponseController(e.w).Flush()
}

func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return DefaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > MaxWait {
		return 0, fmt.Errorf("wait: found %q; allowed: a duration with a unit, from 0 to %v", text, MaxWait)
	}
	return wait, nil
}

func httpStatus(code string) int {
	switch code {
	case CodeStale, CodeBusy, CodeOtherNode, CodeNoPrevious:
		return http.StatusConflict
	case CodeShuttingDown:
		return http.StatusServiceUnavailable
	case CodeUnreadable, CodeNewer, CodeInvalid, CodeRequest:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}
