package abusetest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// behaviour is what a client sends on one connection. An entry may refuse the request and close the connection, so errors
// are not reported.
type behaviour func(conn net.Conn) error

// crowd is a number of clients that keep their connections open. A client whose connection is closed connects again.
type crowd struct {
	clients int
	send    behaviour
	// readsNothing means that the clients never read a response.
	readsNothing bool
}

const (
	// waves is the number of times that the clients connect, one after the other.
	waves = 3
	// maxConnections is the number of connections that a client makes in one wave.
	maxConnections = 3
	// sendTimeout bounds what a client sends on one connection to an entry that does not read it.
	sendTimeout = 10 * time.Second
	dialTimeout = 10 * time.Second
)

// run connects the clients to an address. In each wave, once every client has sent everything on its first connection, it
// calls whileOpen and then closes the connections.
func (c crowd) run(t *testing.T, address string, whileOpen func()) {
	t.Helper()
	for range waves {
		w := &wave{crowd: c, address: address, done: make(chan struct{})}
		w.sending.Add(c.clients)
		for range c.clients {
			w.clients.Go(w.runClient)
		}
		w.sending.Wait()
		whileOpen()
		w.end()
	}
}

// wave is the state of the clients while they are connected.
type wave struct {
	crowd
	address string
	sending sync.WaitGroup // clients that have not sent everything on their first connection
	clients sync.WaitGroup
	done    chan struct{}

	mu    sync.Mutex
	conns []net.Conn
}

func (w *wave) runClient() {
	sent := sync.OnceFunc(w.sending.Done)
	defer sent()
	for range maxConnections {
		conn, err := net.DialTimeout("tcp", w.address, dialTimeout)
		if err != nil {
			continue
		}
		if !w.track(conn) {
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_ = w.send(conn)
		sent()
		if w.readsNothing {
			<-w.done
		} else {
			_, _ = io.Copy(io.Discard, conn) // until either side closes the connection
		}
	}
}

// track has the connection closed at the end of the wave. It returns false if the wave has ended.
func (w *wave) track(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.done:
		_ = conn.Close()
		return false
	default:
		w.conns = append(w.conns, conn)
		return true
	}
}

func (w *wave) end() {
	w.mu.Lock()
	close(w.done)
	for _, conn := range w.conns {
		_ = conn.Close()
	}
	w.mu.Unlock()
	w.clients.Wait()
}

// request is a request without its body.
type request struct {
	method, path string
	header       string // lines that end with CRLF
}

func (r request) head(bodyHeader string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s%s\r\n", r.method, r.path, r.header, bodyHeader)
}

// unfinished sends a body with its length, in pieces, without its last byte.
func unfinished(r request, body []byte, piece int) behaviour {
	head := r.head(fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		for rest := body[:len(body)-1]; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := conn.Write(rest[:min(piece, len(rest))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// unfinishedChunked sends a body in chunks, without the last chunk. The bytes are encoded once for the whole crowd.
func unfinishedChunked(r request, body []byte, chunk int) behaviour {
	var encoded bytes.Buffer
	encoded.WriteString(r.head("Transfer-Encoding: chunked\r\n"))
	for rest := body; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
		piece := rest[:min(chunk, len(rest))]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(piece), piece)
	}
	return sendAll(encoded.Bytes())
}

// whole sends a whole request.
func whole(r request, body []byte) behaviour {
	return sendAll(append([]byte(r.head(fmt.Sprintf("Content-Length: %d\r\n", len(body)))), body...))
}

// endlessHeader sends header lines until the entry stops to read.
func endlessHeader(r request) behaviour {
	head := strings.TrimSuffix(r.head(""), "\r\n")
	line := "X-Filler: " + strings.Repeat("x", 200) + "\r\n"
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		for range 10_000 {
			if _, err := io.WriteString(conn, line); err != nil {
				return err
			}
		}
		return nil
	}
}

// pipelined sends the same request many times without waiting for responses.
func pipelined(r request, times int) behaviour {
	return sendAll(bytes.Repeat([]byte(r.head("")), times))
}

// silent sends nothing.
func silent(net.Conn) error { return nil }

func sendAll(data []byte) behaviour {
	return func(conn net.Conn) error {
		_, err := conn.Write(data)
		return err
	}
}

// inPieces sends a whole body in pieces.
func inPieces(r request, body []byte) behaviour {
	begin := unfinished(r, body, 8<<10)
	return func(conn net.Conn) error {
		if err := begin(conn); err != nil {
			return err
		}
		_, err := conn.Write(body[len(body)-1:])
		return err
	}
}

// inChunks sends a whole body in small chunks.
func inChunks(r request, body []byte) behaviour {
	begin := unfinishedChunked(r, body, 16)
	return func(conn net.Conn) error {
		if err := begin(conn); err != nil {
			return err
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
}

// readStatus reads a response and returns its status.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
