// Command balsamfork is the operators' tool. Run it with help for its commands.
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
