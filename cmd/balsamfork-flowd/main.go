// Command balsamfork-flowd is one instance of balsamfork on a platform whose
// callers and backend servers carry a flow cookie.
//
// Exit codes: 0 stopped in order; 1 failed; 2 the settings are faulty.
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
	// garbageCollection lets the heap grow to several times what is live: processor
	// time is scarcer than memory at a few MB.
	garbageCollection = 400
	// memoryShare is the part of the memory limit that the runtime keeps to.
	memoryShare = 0.7
	// settingsCheck is how often the settings file is looked at, as it may change
	// without a signal; only the seeds can change in it.
	settingsCheck = 5 * time.Second
	// logTimeout bounds writing out the last lines.
	logTimeout = 300 * time.Millisecond
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
	debug.SetGCPercent(garbageCollection)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	out := decisionlog.NewWriter(os.Stdout)
	defer out.Close(logTimeout)
	log := telemetry.NewLogger(out, slog.LevelInfo, true).With("instance", settings.Instance)
	return serve(settings, log)
}

// serve runs the instance until a signal.
func serve(settings platform.Settings, log *slog.Logger) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	daemon, err := flowd.New(settings, log)
	if err != nil {
		log.Error("Instance could not be built.", "part", "daemon", "error", err)
		return exitFailed
	}
	if err := daemon.Start(context.Background()); err != nil {
		log.Error("Instance could not start.", "part", "daemon", "error", err)
		return exitFailed
	}
	waitForEnd(daemon, log, signals)
	if err := daemon.Stop(context.Background()); err != nil {
		log.Error("Instance stopped, but not in order.", "part", "daemon", "error", err)
		return exitFailed
	}
	return exitOK
}

// waitForEnd returns at a signal to stop. Until then it reloads the settings at
// SIGHUP and whenever their file has changed.
func waitForEnd(daemon *flowd.Daemon, log *slog.Logger, signals <-chan os.Signal) {
	look := time.NewTicker(settingsCheck)
	defer look.Stop()
	loaded := lookedAt(log)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-look.C:
			written := lookedAt(log)
			if written.IsZero() || written.Equal(loaded) {
				continue
			}
			loaded = written
		}
		reload(daemon, log)
	}
}

// lookedAt returns when the settings file was written, or the zero time if it can't
// be looked at: the present settings stay in force.
func lookedAt(log *slog.Logger) time.Time {
	written, err := platform.SettingsModified()
	if err != nil {
		log.Warn("Settings file can't be looked at.", "part", "daemon", "error", err)
	}
	return written
}

// reload reads the settings again. Faulty ones leave the present ones in force.
func reload(daemon *flowd.Daemon, log *slog.Logger) {
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Error("Settings are not reloaded.", "part", "daemon", "error", err)
		return
	}
	daemon.Reload(settings)
}
