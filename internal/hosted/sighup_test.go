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

// SIGHUP must not end the process, as it does by default, even if the settings file is invalid by then.
func TestSIGHUPKeepsProcessAndSettings(t *testing.T) {
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
	if checkSettings(s, func() (*platform.Settings, error) { return nil, errors.New("unreadable") }) {
		t.Error("invalid settings count as a change")
	}
	if checkSettings(s, func() (*platform.Settings, error) { return &platform.Settings{Node: "a"}, nil }) {
		t.Error("equal settings count as a change")
	}
	if !checkSettings(s, func() (*platform.Settings, error) { return &platform.Settings{Node: "b"}, nil }) {
		t.Error("a change was not detected")
	}
}
