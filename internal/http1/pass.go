package http1

import (
	"io"
	"net/http"
	"time"

	"damsontrestle/internal/engine"
)

// maxWriteStall is how long a client may take nothing of a response that passes through.
const maxWriteStall = 10 * time.Second

// streamReply gives the client an answer as it comes from the server. With an error it is not complete, and the client can
// tell if its connection is cut.
func streamReply(w http.ResponseWriter, rc *http.ResponseController, r engine.Reply) error {
	defer r.Rest.Close()
	put := func(p []byte) error {
		rc.SetWriteDeadline(time.Now().Add(maxWriteStall))
		if _, err := w.Write(p); err != nil {
			return err
		}
		return rc.Flush()
	}
	if len(r.Body) > 0 {
		if err := put(r.Body); err != nil {
			return err
		}
	}
	buf := make([]byte, streamBuffer)
	for {
		n, err := r.Rest.Read(buf)
		if n > 0 {
			if err := put(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// streamBuffer is how much of an answer that passes through is held at once.
const streamBuffer = 16 << 10
