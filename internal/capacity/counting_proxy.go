package capacity

import (
	"io"
	"net"
	"sync/atomic"
)

// countingProxy forwards the TCP connections of one entry to the platform and counts their bytes, which no metric
// reports.
type countingProxy struct {
	listener        net.Listener
	platformAddress string
	bytesToPlatform atomic.Int64 // written by the entry
	bytesToEntry    atomic.Int64
}

func newCountingProxy(platformAddress string) (*countingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &countingProxy{listener: l, platformAddress: platformAddress}
	go r.accept()
	return r, nil
}

func (r *countingProxy) address() string { return r.listener.Addr().String() }

func (r *countingProxy) accept() {
	for {
		entryConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		platformConn, err := net.Dial("tcp", r.platformAddress)
		if err != nil {
			_ = entryConn.Close()
			continue
		}
		go copyAndClose(platformConn, entryConn, &r.bytesToPlatform)
		go copyAndClose(entryConn, platformConn, &r.bytesToEntry)
	}
}

// copyAndClose copies one direction of a connection until either end closes, and then closes both ends.
func copyAndClose(dst, src net.Conn, count *atomic.Int64) {
	_, _ = io.Copy(countingWriter{dst, count}, src)
	_ = dst.Close()
	_ = src.Close()
}

// countingWriter adds the bytes written through it to count.
type countingWriter struct {
	w     io.Writer
	count *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.count.Add(int64(n))
	return n, err
}
