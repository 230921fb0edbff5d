// Command fleet2 plays one case of the review: it starts the stand-ins and entry hosts of a small deployment, the traffic and the
// disruption of the case, and judges the case's rule. Exit status: 1 broken, 0 held, 2 could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases returns what a case plays; it returns what broke the rule.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"born": bornBack, "start": startAnswered, "ack": ackCarried, "loop": crashLoop, "hopeless": hopelessJobs,
}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("keep", "", "folder for logs, kept")
	flag.Parse()
	os.Exit(play(*name, *record, *keep))
}

func play(name, record, keep string) int {
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir := keep
	if dir == "" {
		temporary, err := os.MkdirTemp("", "review-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	f, err := newFleet(dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	signal.Ignore(syscall.SIGPIPE)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		f.close()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.log("case", "name", name, "trouble", trouble)
	broken, err := playCase(f, trouble)
	if err != nil {
		f.log("the case could not run", "error", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		f.log(line)
	}
	accepted := 0
	for _, j := range f.jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
	}
	f.log("end", "jobs", len(f.jobs), "accepted", accepted, "broken", len(broken))
	fmt.Printf("%s: trouble %v, %d jobs accepted, rule broken %d times, %.0f s\n", name, trouble, accepted, len(broken), time.Since(f.begin).Seconds())
	for i, line := range broken {
		if i < 3 {
			fmt.Println(line)
		}
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
