// Command standin plays the cases of the review: it starts nodes as processes, and stands in for clients, servers, discovery and the
// platform. Its exit code is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

var cases = map[string]func(*world) error{
	"short-length":     shortLength,
	"late-pipeline":    latePipeline,
	"dropped-pipeline": droppedPipeline,
	"endless-answer":   endlessAnswer,
	"memory-limit":     memoryLimit,
	"chunked-pipeline": chunkedPipeline,
	"flood":            flood,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "bad-clients" {
		clients, _ := strconv.Atoi(os.Args[3])
		length, _ := time.ParseDuration(os.Args[4])
		badClients(os.Args[2], clients, length)
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(*world) error, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	err = run(w)
	if err != nil {
		w.logf("%v", err)
	}
	code := w.end()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
