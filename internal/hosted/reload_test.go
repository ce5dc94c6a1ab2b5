package hosted

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"masticcart.example/masticcart/platform"
)

// A reload must not end the process (SIGHUP does by default), whatever the file says by then.
func TestReloadKeepsTheProcessAndItsSettings(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &platform.Settings{Node: "a"}
	loads := make(chan struct{}, 1)
	CheckSettingsOnSIGHUP(ctx, s, func() (*platform.Settings, error) {
		loads <- struct{}{}
		return nil, errors.New("unreadable")
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-loads:
	case <-time.After(5 * time.Second):
		t.Fatal("the settings were not read again")
	}
	if reload(s, func() (*platform.Settings, error) { return nil, errors.New("unreadable") }) {
		t.Error("wrong settings count as a change")
	}
	if reload(s, func() (*platform.Settings, error) { return &platform.Settings{Node: "a"}, nil }) {
		t.Error("equal settings count as a change")
	}
	if !reload(s, func() (*platform.Settings, error) { return &platform.Settings{Node: "b"}, nil }) {
		t.Error("a change was not noticed")
	}
}
