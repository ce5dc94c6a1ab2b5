package transport

import (
	"errors"
	"io"
	"net/http"
)

// maxDrainBytes bounds how much of a rejected body is read.
const maxDrainBytes = 128 << 20

// DrainBody discards the rest of a request body that is too large, up to maxDrainBytes, and has the connection closed
// after the response. Closing a connection with unread bytes resets it, so the client could lose the response. The
// caller must bound the time, for example with a read deadline.
func DrainBody(w http.ResponseWriter, body io.Reader) error {
	w.Header().Set("Connection", "close")
	if _, err := io.CopyN(io.Discard, body, maxDrainBytes); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
