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
	p := &countingProxy{listener: l, platformAddress: platformAddress}
	go p.accept()
	return p, nil
}

func (p *countingProxy) address() string { return p.listener.Addr().String() }

func (p *countingProxy) accept() {
	for {
		entryConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		platformConn, err := net.Dial("tcp", p.platformAddress)
		if err != nil {
			_ = entryConn.Close()
			continue
		}
		go copyAndClose(platformConn, entryConn, &p.bytesToPlatform)
		go copyAndClose(entryConn, platformConn, &p.bytesToEntry)
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
