package connhealth

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/faultproxy"
)

const requestTimeout = 2 * minSilence

// delayHeader says after how many milliseconds the server answers.
const delayHeader = "X-Delay"

// newServer returns a proxy to a server that answers each request after the time that the request names.
func newServer(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		delay, err := time.ParseDuration(r.Header.Get(delayHeader))
		if err != nil {
			t.Error(err)
		}
		time.Sleep(delay)
	}))
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

// client is a client with a connection pool of its own.
type client struct {
	t     *testing.T
	proxy *faultproxy.Proxy
	http  *http.Client
}

func newClient(t *testing.T, proxy *faultproxy.Proxy, p *Peer) *client {
	const maxConnections = 16
	base := &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: maxConnections}
	t.Cleanup(base.CloseIdleConnections)
	return &client{t, proxy, &http.Client{Transport: p.Transport(base)}}
}

// get makes a request that the server answers after delay, and that may take timeout in addition to answerDelay.
func (c *client) get(delay, answerDelay, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), answerDelay+timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(WithAnswerDelay(ctx, answerDelay), http.MethodGet, "http://"+c.proxy.Address(), nil)
	if err != nil {
		return err
	}
	r.Header.Set(delayHeader, delay.String())
	res, err := c.http.Do(r)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// getConcurrently makes n concurrent requests and returns how many have failed.
func (c *client) getConcurrently(n int, delay time.Duration) int {
	errs := make([]error, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { errs[i] = c.get(delay, 0, requestTimeout) })
	}
	group.Wait()
	failed := 0
	for _, err := range errs {
		if err != nil {
			failed++
		}
	}
	return failed
}

// Guards against connections that went silent together and are tried one after the other (review/11, review/12): each costs a
// request its time. All pools that lead to the peer learn of it.
func TestSilentConnectionsCostOneTimeout(t *testing.T) {
	t.Parallel()
	for _, answerDelay := range []time.Duration{0, time.Second} { // a request, a long poll
		proxy := newServer(t)
		peer := NewPeer("test")
		first, second := newClient(t, proxy, peer), newClient(t, proxy, peer)
		for _, c := range []*client{first, second} {
			if failed := c.getConcurrently(8, 50*time.Millisecond); failed > 0 {
				t.Fatalf("%d requests have failed", failed)
			}
		}
		proxy.SilenceConnections()
		if err := first.get(0, answerDelay, requestTimeout); err == nil {
			t.Fatal("a silent connection carries a request")
		}
		for _, c := range []*client{first, second} {
			for range 9 {
				if err := c.get(0, 0, requestTimeout); err != nil {
					t.Errorf("answer delay %v: a request after the first timeout has failed: %v", answerDelay, err)
				}
			}
		}
	}
}

// Guards against a new connection for each request to a peer that answers late on sound connections.
func TestSlowPeerCostsNoConnections(t *testing.T) {
	t.Parallel()
	proxy := newServer(t)
	c := newClient(t, proxy, NewPeer("test"))
	const slow = 500 * time.Millisecond // below the time-out
	if failed := c.getConcurrently(4, slow); failed > 0 {
		t.Fatalf("%d requests have failed", failed)
	}
	before := proxy.Accepted()
	for range 4 {
		if failed := c.getConcurrently(4, slow); failed > 0 {
			t.Fatalf("%d requests have failed", failed)
		}
	}
	if n := proxy.Accepted() - before; n > 0 {
		t.Errorf("%d new connections", n)
	}
	// A request that is not answered in time costs its own connection, and not those that carry answers meanwhile.
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = c.get(50*time.Millisecond, 0, requestTimeout)
				}
			}
		})
	}
	for range 3 {
		if err := c.get(3*time.Second, 0, requestTimeout); err == nil {
			t.Error("a late answer is in time")
		}
	}
	close(stop)
	group.Wait()
	if n := proxy.Accepted() - before; n > 3 {
		t.Errorf("%d new connections for three timeouts", n)
	}
}

// Guards against idle connections that are closed because a long poll waits, a request was given up early, or the peer does
// not answer new connections.
func TestOtherTimeoutsCloseNothing(t *testing.T) {
	t.Parallel()
	proxy := newServer(t)
	peer := NewPeer("test")
	c := newClient(t, proxy, peer)
	if failed := c.getConcurrently(4, 50*time.Millisecond); failed > 0 {
		t.Fatalf("%d requests have failed", failed)
	}
	before := proxy.Accepted()
	if err := c.get(time.Second, time.Second, requestTimeout); err != nil {
		t.Errorf("a long poll has failed: %v", err)
	}
	if err := c.get(time.Second, 0, minSilence/2); err == nil { // closes its own connection
		t.Error("a late answer is in time")
	}
	if failed := c.getConcurrently(3, 50*time.Millisecond); failed > 0 || proxy.Accepted() > before {
		t.Errorf("%d failed, %d new connections", failed, proxy.Accepted()-before)
	}

	proxy.SetMode(faultproxy.HoldAll) // for new connections and open ones
	fresh := newClient(t, proxy, peer)
	if err := fresh.get(0, 0, requestTimeout); err == nil {
		t.Error("answered by a peer that is away")
	}
	proxy.SetMode(faultproxy.Forward)
	before = proxy.Accepted()
	if failed := c.getConcurrently(3, 50*time.Millisecond); failed > 0 || proxy.Accepted() > before {
		t.Errorf("after an outage: %d failed, %d new connections", failed, proxy.Accepted()-before)
	}
}

// Guards against a long poll that is broken off because another connection has gone silent.
func TestLongPollsAreLeftToTheirTimeout(t *testing.T) {
	peer := NewPeer("test")
	pair := func() (*Conn, net.Conn) {
		near, far := net.Pipe()
		t.Cleanup(func() { _, _ = near.Close(), far.Close() })
		return peer.Track(near), far
	}
	exchange := func(c *Conn, far net.Conn, answered bool) {
		t.Helper()
		go func() {
			_, _ = far.Read(make([]byte, 1))
			if answered {
				_, _ = far.Write([]byte("a"))
			}
		}()
		if _, err := c.Write([]byte("q")); err != nil {
			t.Error(err)
		}
		if answered {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Error(err)
			}
		}
	}
	silent, farSilent := pair()
	polling, farPolling := pair()
	idle, farIdle := pair()
	for c, far := range map[*Conn]net.Conn{silent: farSilent, polling: farPolling, idle: farIdle} {
		exchange(c, far, true)
	}
	exchange(polling, farPolling, false)
	due := time.Now()
	exchange(silent, farSilent, false)
	if n := peer.Unanswered(silent, due); n != 0 {
		t.Errorf("%d connections closed at once", n)
	}
	time.Sleep(minSilence + 20*time.Millisecond)
	opened, _ := pair() // after the request
	if n := peer.Unanswered(silent, due); n != 2 {
		t.Errorf("%d connections closed, want the silent and the idle one", n)
	}
	for c, want := range map[*Conn]bool{silent: false, idle: false, polling: true, opened: true} {
		if _, tracked := peer.conns[c]; tracked != want {
			t.Errorf("silent %v, idle %v, polling %v, opened later %v: tracked %v", c == silent, c == idle, c == polling,
				c == opened, tracked)
		}
	}
}
