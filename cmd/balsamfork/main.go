// Command balsamfork is the command-line tool for operators. "balsamfork help" lists
// its commands.
package main

import (
	"context"
	"os"
	"os/signal"

	"balsamfork/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	env := cli.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(ctx, env, os.Args[1:]))
}
