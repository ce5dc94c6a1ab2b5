package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	fetchTimeout = 2 * time.Second
	// fetchGap spaces the fetches, since a newer version is heard of from many peers at once.
	fetchGap = 200 * time.Millisecond
	// followCheck is how often the entry looks whether it became the one that watches the platform.
	followCheck = 500 * time.Millisecond
)

// ConfigSync keeps the configuration up to date: the owner of a cell watches the platform, the other entries
// fetch newer versions from whoever reports one.
type ConfigSync struct {
	*config.Applier
	watcher *config.Watcher
	isOwner func(time.Time) bool
	fetches chan fetch

	mu   sync.Mutex
	read bool // the platform was read, or a version came from elsewhere
}

type fetch struct {
	version int64
	call    func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error
}

// NewConfigSync returns a ConfigSync that has not been started.
func NewConfigSync(a *config.Applier, w *config.Watcher, isOwner func(time.Time) bool) *ConfigSync {
	return &ConfigSync{Applier: a, watcher: w, isOwner: isOwner, fetches: make(chan fetch, 64)}
}

// WatchWhileOwner watches the platform while this entry owns its cell.
func (c *ConfigSync) WatchWhileOwner(ctx context.Context) {
	var stop context.CancelFunc
	ticker := time.NewTicker(followCheck)
	defer ticker.Stop()
	for {
		owner := c.isOwner(time.Now())
		if owner && stop == nil {
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			go c.watcher.Run(watchCtx)
		}
		if !owner && stop != nil {
			stop()
			stop = nil
		}
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		case <-ticker.C:
		}
	}
}

// LoadInitial reads the platform at the start of the process, so that a fresh entry need not wait for its peers.
func (c *ConfigSync) LoadInitial(ctx context.Context, r *config.Repository) {
	for ctx.Err() == nil && !c.Ready() {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		doc, err := r.Load(callCtx)
		cancel()
		if err == nil {
			c.Apply(doc)
			c.mu.Lock()
			c.read = true
			c.mu.Unlock()
			return
		}
		klog.InfoS("Configuration not read", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(fetchTimeout):
		}
	}
}

// Ready reports whether the configuration is known: a version is in force, or the platform has none yet.
func (c *ConfigSync) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read || c.Version() > 0
}

// FetchIfNewer notes the version of a peer.
func (c *ConfigSync) FetchIfNewer(version int64, call func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error) {
	if version <= c.Version() {
		return
	}
	select {
	case c.fetches <- fetch{version: version, call: call}:
	default: // the next report brings it again
	}
}

// FetchFromAgentIfNewer notes the version of an agent, which may know a newer one than an entry that restarted during
// an outage.
func (c *ConfigSync) FetchFromAgentIfNewer(conn *rpc.Conn, version int64) {
	c.FetchIfNewer(version, func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error {
		return conn.Call(ctx, protocol.MethodConfig, args, reply)
	})
}

// RunFetches fetches newer versions from peers and agents until ctx ends.
func (c *ConfigSync) RunFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.fetches:
			if f.version <= c.Version() {
				continue
			}
			c.fetchOne(ctx, f)
		}
	}
}

func (c *ConfigSync) fetchOne(ctx context.Context, f fetch) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply protocol.ConfigReply
	if err := f.call(callCtx, protocol.ConfigArgs{KnownVersion: c.Version()}, &reply); err != nil {
		klog.V(1).InfoS("Configuration not fetched", "version", f.version, "err", err)
		time.Sleep(fetchGap)
		return
	}
	if reply.Config != nil && c.Apply(reply.Config) {
		klog.InfoS("Applied configuration", "version", reply.Config.Version, "from", "peer")
	}
}

// serve answers a peer that is behind.
func (c *ConfigSync) serve(_ context.Context, _ *rpc.Conn, args protocol.ConfigArgs) (protocol.ConfigReply, error) {
	if cur := c.Current(); cur.Version > args.KnownVersion {
		return protocol.ConfigReply{Config: cur}, nil
	}
	return protocol.ConfigReply{}, nil
}
