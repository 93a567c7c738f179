// Command balsamfork-flowd runs one instance of balsamfork on a platform whose
// callers and backend servers carry a flow cookie.
//
// Exit codes: 0 stopped gracefully, or the settings are valid; 1 failed; 2 the
// settings are invalid.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"balsamfork/internal/decisionlog"
	"balsamfork/internal/flowd"
	"balsamfork/internal/telemetry"
	"balsamfork/platform"
)

// The exit codes of the daemon.
const (
	exitOK = iota
	exitFailed
	exitSettings
)

const (
	// memoryLimitShare is the share of the instance's memory limit that is set as the
	// memory limit of the Go runtime.
	memoryLimitShare = 0.7
	// settingsCheckInterval is the time between checks of the settings file for changes
	// that no signal announces. Only changes of the seeds take effect.
	settingsCheckInterval = 5 * time.Second
	// logCloseTimeout bounds the time for writing the last log lines.
	logCloseTimeout = 300 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet("balsamfork-flowd", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		return exitOK
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryLimit)))
	out := decisionlog.NewWriter(os.Stdout)
	defer out.Close(logCloseTimeout)
	log := telemetry.NewLogger(out, slog.LevelInfo, true).With("instance", settings.Instance)
	return serve(settings, log)
}

// serve runs the instance until a signal to stop arrives, and returns the exit code.
func serve(settings platform.Settings, log *slog.Logger) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	daemon, err := flowd.New(settings, log)
	if err != nil {
		log.Error("Instance could not be created.", "part", "daemon", "error", err)
		return exitFailed
	}
	if err := daemon.Start(context.Background()); err != nil {
		log.Error("Instance could not start.", "part", "daemon", "error", err)
		return exitFailed
	}
	waitForStop(daemon, log, signals)
	if err := daemon.Stop(context.Background()); err != nil {
		log.Error("Instance stopped with errors.", "part", "daemon", "error", err)
		return exitFailed
	}
	return exitOK
}

// waitForStop returns at a signal to stop. Until then it reloads the settings at
// SIGHUP and whenever their file has changed.
func waitForStop(daemon *flowd.Daemon, log *slog.Logger, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastModified := settingsModified(log)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			modified := settingsModified(log)
			if modified.IsZero() || modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		reload(daemon, log)
	}
}

// settingsModified returns the modification time of the settings file, or the zero
// time if it can't be read, in which case the current settings stay in force.
func settingsModified(log *slog.Logger) time.Time {
	modified, err := platform.SettingsModified()
	if err != nil {
		log.Warn("Modification time of the settings file can't be read.", "part", "daemon", "error", err)
	}
	return modified
}

// reload reads the settings again. If they are invalid, the current ones stay in
// force.
func reload(daemon *flowd.Daemon, log *slog.Logger) {
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Error("Settings could not be reloaded.", "part", "daemon", "error", err)
		return
	}
	daemon.Reload(settings)
}
