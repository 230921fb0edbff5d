//go:build review3

// Command standins-3 plays the cases of review/11 and on. Usage: standins-3 NAME, in the project's root; the environment
// has RECORD (path of the record) and TROUBLE (0: without the disruption).
package main

import (
	"fmt"
	"os"
)

var scenarios = map[string]func(trouble bool){}

func main() {
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 NAME")
		os.Exit(2)
	}
	scenarios[os.Args[1]](os.Getenv("TROUBLE") != "0")
}
