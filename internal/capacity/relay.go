package capacity

import (
	"io"
	"net"
	"sync/atomic"
)

// relay passes the connections of one entry on to the platform and counts their bytes, which no metric shows.
type relay struct {
	listener   net.Listener
	target     string
	toPlatform atomic.Int64 // written by the entry
	toEntry    atomic.Int64
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go pass(server, client, &r.toPlatform)
		go pass(client, server, &r.toEntry)
	}
}

// pass copies until either side ends and then closes both.
func pass(to, from net.Conn, count *atomic.Int64) {
	_, _ = io.Copy(countingWriter{to, count}, from)
	_ = to.Close()
	_ = from.Close()
}

type countingWriter struct {
	to    io.Writer
	count *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.count.Add(int64(n))
	return n, err
}
