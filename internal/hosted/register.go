package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform"
)

const (
	// registerTimeout bounds one try to register with the store.
	registerTimeout = time.Second
	// registerPause follows a failed one.
	registerPause = 250 * time.Millisecond
)

// register puts the address of a process into the store, where the leader finds it. The entry stays: a process that
// starts again on its machine has the same address, and one that is gone is dialled in vain.
func register(ctx context.Context, store kvstore.Store, key string, s *platform.Settings) {
	value, err := json.Marshal(scheduler.Registration{Node: s.Node, Address: s.RPCAddress()})
	if err != nil {
		klog.ErrorS(err, "Registration not encoded")
		return
	}
	var before kvstore.Entry
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := store.Put(callCtx, key, value, before.Revision, 0)
		cancel()
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			klog.InfoS("Registered", "key", key, "address", s.RPCAddress())
			return
		case errors.As(err, &conflict):
			if before = conflict.Find(key); string(before.Value) == string(value) {
				klog.InfoS("Registered before", "key", key, "revision", before.Revision)
				return
			}
			continue
		}
		klog.InfoS("Not registered", "key", key, "err", err)
		wait.For(ctx, registerPause)
	}
}
