package transport

import (
	"errors"
	"io"
	"net/http"
)

// maxDrain bounds what is read of a refused body, in bytes.
const maxDrain = 128 << 20

// DrainBody discards the rest of a body that is too large and ends the connection with the answer. Closing a connection
// with unread bytes resets it, and the caller would lose the answer. The caller of DrainBody bounds the time.
func DrainBody(w http.ResponseWriter, body io.Reader) error {
	w.Header().Set("Connection", "close")
	if _, err := io.CopyN(io.Discard, body, maxDrain); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
