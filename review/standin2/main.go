package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases holds the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken int, err error){
	"lapse": lapse,
	"full":  full,
	"cold":  cold,
	"twice": twice,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.note("the rule was broken %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", args[0], broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
