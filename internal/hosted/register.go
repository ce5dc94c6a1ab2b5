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
	// registerTimeout bounds one attempt to register with the store.
	registerTimeout = time.Second
	// registerRetryInterval is the pause after a failed attempt.
	registerRetryInterval = 250 * time.Millisecond
)

// register writes the address of a process to the store, where the leader finds it, and retries until it succeeds or
// ctx ends. The registration is never removed: a process that restarts on its machine has the same address, and dials
// to one that is gone fail.
func register(ctx context.Context, store kvstore.Store, key string, s *platform.Settings) {
	value, err := json.Marshal(scheduler.Registration{Node: s.Node, Address: s.RPCAddress()})
	if err != nil {
		klog.ErrorS(err, "Failed to encode registration")
		return
	}
	var current kvstore.Entry
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := store.Put(callCtx, key, value, current.Revision, 0)
		cancel()
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			klog.InfoS("Registered", "key", key, "address", s.RPCAddress())
			return
		case errors.As(err, &conflict):
			if current = conflict.Find(key); string(current.Value) == string(value) {
				klog.InfoS("Already registered", "key", key, "revision", current.Revision)
				return
			}
			continue
		}
		klog.InfoS("Registration failed, retrying", "key", key, "err", err)
		wait.For(ctx, registerRetryInterval)
	}
}
