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
	// fetchTimeout bounds one fetch or one initial read, and is the pause before the initial read is retried.
	fetchTimeout = 2 * time.Second
	// fetchRetryDelay is the pause after a failed fetch. Many peers report a newer version at once, so further fetches
	// of it are usually queued and would otherwise start at once.
	fetchRetryDelay = 200 * time.Millisecond
	// ownerCheckInterval is how often the entry checks whether it owns its cell and must watch the platform.
	ownerCheckInterval = 500 * time.Millisecond
)

// ConfigSync keeps the configuration up to date. The owner of a cell watches the document in the platform; the other
// entries fetch a newer version from the peer or agent that reports one.
type ConfigSync struct {
	*config.Applier
	watcher *config.Watcher
	isOwner func(time.Time) bool
	fetches chan fetchRequest // drained by RunFetches

	mu     sync.Mutex
	loaded bool // LoadInitial has read the platform
}

// fetchRequest is a newer version and the call that fetches the configuration from the process that reported it.
type fetchRequest struct {
	version int64
	call    func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error
}

// NewConfigSync returns a ConfigSync that watches and fetches nothing before its loops are started.
func NewConfigSync(a *config.Applier, w *config.Watcher, isOwner func(time.Time) bool) *ConfigSync {
	return &ConfigSync{Applier: a, watcher: w, isOwner: isOwner, fetches: make(chan fetchRequest, 64)}
}

// WatchWhileOwner runs the watcher whenever this entry owns its cell, until ctx ends.
func (c *ConfigSync) WatchWhileOwner(ctx context.Context) {
	var stop context.CancelFunc
	ticker := time.NewTicker(ownerCheckInterval)
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

// LoadInitial reads the configuration from the platform after the start of the process, so that a new entry need not
// wait for its peers. It retries until it succeeds, a version comes from elsewhere, or ctx ends.
func (c *ConfigSync) LoadInitial(ctx context.Context, r *config.Repository) {
	for ctx.Err() == nil && !c.Ready() {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		doc, err := r.Load(callCtx)
		cancel()
		if err == nil {
			c.Apply(doc)
			c.mu.Lock()
			c.loaded = true
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

// Ready reports whether the configuration is known: a version is in force, or the platform has been read and has none.
func (c *ConfigSync) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded || c.Version() > 0
}

// FetchIfNewer queues a fetch if a peer reports a newer version than the one in force. It does not block.
func (c *ConfigSync) FetchIfNewer(version int64,
	call func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error) {
	if version <= c.Version() {
		return
	}
	select {
	case c.fetches <- fetchRequest{version: version, call: call}:
	default: // the queue is full; the next report asks for the version again
	}
}

// FetchFromAgentIfNewer is FetchIfNewer for the version that an agent reports. An agent can have a newer version than
// an entry that restarted while the platform was unavailable.
func (c *ConfigSync) FetchFromAgentIfNewer(conn *rpc.Conn, version int64) {
	c.FetchIfNewer(version, func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error {
		return conn.Call(ctx, protocol.MethodConfig, args, reply)
	})
}

// RunFetches performs the queued fetches until ctx ends.
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

func (c *ConfigSync) fetchOne(ctx context.Context, f fetchRequest) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply protocol.ConfigReply
	if err := f.call(callCtx, protocol.ConfigArgs{KnownVersion: c.Version()}, &reply); err != nil {
		klog.V(1).InfoS("Configuration not fetched", "version", f.version, "err", err)
		time.Sleep(fetchRetryDelay)
		return
	}
	if reply.Config != nil && c.Apply(reply.Config) {
		klog.InfoS("Applied configuration", "version", reply.Config.Version, "from", "peer")
	}
}

// handleConfig returns the configuration if the caller has an older version.
func (c *ConfigSync) handleConfig(_ context.Context, _ *rpc.Conn,
	args protocol.ConfigArgs) (protocol.ConfigReply, error) {
	if current := c.Current(); current.Version > args.KnownVersion {
		return protocol.ConfigReply{Config: current}, nil
	}
	return protocol.ConfigReply{}, nil
}
