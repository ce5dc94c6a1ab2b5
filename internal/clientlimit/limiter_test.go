package clientlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// server is a protected HTTP server. Its handler reads the body of a request. If that is of holdLength bytes, it waits until
// hold is closed.
type server struct {
	*testing.T
	limiter *Limiter
	address string
	hold    chan struct{}

	mu  sync.Mutex
	ago time.Duration // how far the limiter's clock is ahead
}

const (
	testBodyLimit = 64 << 10
	holdLength    = testBodyLimit - 1
	testExpansion = 2
)

func newServer(t *testing.T, limits Limits) *server {
	t.Helper()
	s := &server{T: t, limiter: New(limits, nil), hold: make(chan struct{})}
	s.limiter.now = func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Add(s.ago)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	httpServer := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	protected := s.limiter.Protect(httpServer, listener)
	go func() { _ = httpServer.Serve(protected) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, testBodyLimit, testExpansion)
	switch {
	case errors.Is(err, ErrOverloaded):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusRequestTimeout)
	case len(body) == holdLength:
		<-s.hold
	}
}

// pass lets all grace periods pass.
func (s *server) pass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ago += gracePeriod
}

func (s *server) dial() net.Conn {
	s.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// begin sends the head of a request and part of its body on a new connection.
func (s *server) begin(length, sent int) net.Conn {
	s.Helper()
	conn := s.dial()
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
	if _, err := conn.Write(make([]byte, sent)); err != nil {
		s.Fatal(err)
	}
	return conn
}

// expect reads a response, which must have a status. Status 0 means that the connection ends without a response.
func (s *server) expect(what string, conn net.Conn, status int) {
	s.Helper()
	got := 0
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		got = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if got != status {
		s.Errorf("%s: status %d, want %d (%v)", what, got, status, err)
	}
}

// until waits until a condition on the limiter holds.
func (s *server) until(what string, ok func(*Limiter) bool) {
	s.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.limiter.mu.Lock()
		done := ok(s.limiter)
		s.limiter.mu.Unlock()
		if done {
			return
		}
	}
	s.Fatalf("%s: not within 20 s", what)
}

func reservedBytes(n int64) func(*Limiter) bool {
	return func(l *Limiter) bool { return l.bodyBytes == n }
}

func inPhase(p phase, n int) func(*Limiter) bool {
	return func(l *Limiter) bool { return l.byPhase[p].Len() == n }
}

// bodyLimits has room for one body of the largest size and for few connections.
var bodyLimits = Limits{Connections: 64, BodyBytes: testExpansion * (testBodyLimit + 1), BodyTimeout: time.Minute}

// Guards against unfinished bodies that keep others out for longer than their grace period, and against a refused request
// that gets no response.
func TestUnfinishedBodyGivesWayAfterItsGracePeriod(t *testing.T) {
	s := newServer(t, bodyLimits)
	held := s.begin(testBodyLimit, testBodyLimit-1)
	s.until("body is held", reservedBytes(testExpansion*testBodyLimit))
	s.expect("second body at once", s.begin(testBodyLimit, testBodyLimit), http.StatusServiceUnavailable)
	s.expect("small body", s.begin(freeBodyBytes, freeBodyBytes), http.StatusOK)
	s.pass()
	s.expect("second body later", s.begin(testBodyLimit, testBodyLimit), http.StatusOK)
	s.expect("unfinished body", held, http.StatusServiceUnavailable)
	s.until("everything is released", reservedBytes(0))
}

// Guards against a body in chunks whose memory is not reserved.
func TestBodyOfUnknownLengthIsReserved(t *testing.T) {
	s := newServer(t, bodyLimits)
	conn := s.dial()
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", testBodyLimit-1)
	if _, err := conn.Write(make([]byte, testBodyLimit-1)); err != nil {
		t.Fatal(err)
	}
	s.until("body is held", reservedBytes(testExpansion*testBodyLimit))
	s.expect("second body", s.begin(testBodyLimit, testBodyLimit), http.StatusServiceUnavailable)
}

// Guards against bytes that are counted as free before the handler that uses them has returned.
func TestBodyIsReservedUntilItsRequestIsHandled(t *testing.T) {
	s := newServer(t, bodyLimits)
	served := s.begin(holdLength, holdLength)
	s.until("request is served", inPhase(serving, 1))
	s.pass()
	s.expect("second body", s.begin(testBodyLimit, testBodyLimit), http.StatusServiceUnavailable)
	close(s.hold)
	s.expect("first body", served, http.StatusOK)
	s.until("everything is released", reservedBytes(0))
}

// Guards against a reservation that outlives its connection.
func TestClosedConnectionReleasesItsBody(t *testing.T) {
	s := newServer(t, bodyLimits)
	held := s.begin(testBodyLimit, testBodyLimit-1)
	s.until("body is held", reservedBytes(testExpansion*testBodyLimit))
	_ = held.Close()
	s.until("everything is released", func(l *Limiter) bool { return l.bodyBytes == 0 && l.open == 0 })
}

// Guards against a wait for memory that can never be free.
func TestBodyThatNeverFitsIsTooLarge(t *testing.T) {
	s := newServer(t, Limits{Connections: 64, BodyBytes: testBodyLimit, BodyTimeout: time.Minute})
	s.expect("body", s.begin(testBodyLimit, testBodyLimit), http.StatusRequestEntityTooLarge)
	s.expect("body over the limit", s.begin(testBodyLimit+1, testBodyLimit+1), http.StatusRequestEntityTooLarge)
}

// Guards against a body that may take for ever below the other limits.
func TestBodyHasALimitedTime(t *testing.T) {
	limits := bodyLimits
	limits.BodyTimeout = 50 * time.Millisecond
	s := newServer(t, limits)
	s.expect("body", s.begin(testBodyLimit, testBodyLimit-1), http.StatusRequestTimeout)
}

// Guards against an order of eviction in which idle clients displace active ones: silent connections go first, then those
// that have been served and are idle, and never one whose request is being served.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	limits := Limits{Connections: 8, BodyBytes: 1 << 20, BodyTimeout: time.Minute} // one of them is for evicted ones
	s := newServer(t, limits)
	served := s.begin(holdLength, holdLength)
	s.until("request is served", inPhase(serving, 1))
	idleClient := s.begin(1, 1)
	s.expect("idle client", idleClient, http.StatusOK)
	s.until("client is idle", inPhase(idle, 1))
	var silent []net.Conn
	for range limits.Connections - 3 {
		silent = append(silent, s.dial())
	}
	s.until("all connections are open", func(l *Limiter) bool { return l.open == limits.Connections-1 })
	s.pass()
	for i, conn := range silent {
		s.expect("new client", s.begin(1, 1), http.StatusOK)
		s.until("one is closed", func(l *Limiter) bool { return l.closing == 0 })
		s.expect(fmt.Sprint("silent client ", i), conn, 0)
	}
	if s.limiter.mu.Lock(); s.limiter.byPhase[idle].Len() != limits.Connections-2 {
		t.Errorf("%d idle connections, want %d", s.limiter.byPhase[idle].Len(), limits.Connections-2)
	}
	s.limiter.mu.Unlock()
	s.expect("another new client", s.begin(1, 1), http.StatusOK)
	s.expect("idle client", idleClient, 0)
	close(s.hold)
	s.expect("served client", served, http.StatusOK)
}

// Guards against limits under which a process of the smallest machine cannot serve its callers.
func TestLimitsOfASmallMachine(t *testing.T) {
	l := ForProcess(184<<20, 4100)
	if l.Connections < 1000 || l.Connections > 4100/2 || l.BodyBytes < 32<<20 || l.BodyBytes > 184<<20/2 {
		t.Errorf("limits %+v", l)
	}
	if l := ForProcess(8<<30, 64); l.Connections != 32 {
		t.Errorf("%d connections with 64 descriptors, want 32", l.Connections)
	}
}
