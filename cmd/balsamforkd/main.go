// Command balsamforkd runs one instance of balsamfork.
//
// Exit codes: 0 stopped gracefully, or the settings are valid; 1 failed; 2 the
// settings are invalid; 3 stopped by a second signal, before the graceful shutdown was
// complete.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"balsamfork/internal/app"
	"balsamfork/internal/settings"
)

// The exit codes of the daemon.
const (
	exitOK = iota
	exitFailed
	exitSettings
	exitAborted
)

func main() {
	os.Exit(run(os.Args[1:], os.Stderr))
}

func run(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("balsamforkd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings file (JSON)")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	valid, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if *check {
		return exitOK
	}
	return serve(valid, app.Logger(valid, stderr))
}

// serve runs the instance until a signal and returns the exit code. The first signal
// starts the graceful shutdown, a second one aborts it.
func serve(s *settings.Valid, log *slog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	daemon, err := app.New(s, log)
	if err != nil {
		log.Error("Instance could not be created", "error", err)
		return exitFailed
	}
	if err := daemon.Start(context.Background()); err != nil {
		log.Error("Instance could not start", "error", err)
		return exitFailed
	}
	<-signals
	log.Info("Instance is shutting down")
	return shutDown(daemon, s, log, signals)
}

func shutDown(daemon *app.Daemon, s *settings.Valid, log *slog.Logger, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- daemon.Stop(ctx) }()
	select {
	case <-signals:
		log.Warn("Graceful shutdown was aborted by a second signal")
		return exitAborted
	case err := <-done:
		if err != nil {
			log.Error("Instance stopped with errors", "error", err)
			return exitFailed
		}
		log.Info("Instance has stopped")
		return exitOK
	}
}
