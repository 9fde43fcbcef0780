// Command rig plays the cases of the review: it starts nodes by the deploy file's command, with stand-ins for the agent of
// discovery, servers and clients around them, and says whether a rule was broken.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

var (
	rootDir string // the repository
	workDir string // temporary
	trouble = os.Getenv("TROUBLE") != "0"
	begun   = time.Now()

	recordMu   sync.Mutex
	recordFile *bufio.Writer

	nodes []*node
)

func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%9.3f "+format+"\n", append([]any{time.Since(begun).Seconds()}, args...)...)
}

// finish ends all processes and exits.
func finish(code int) {
	for _, n := range nodes {
		n.kill()
	}
	recordMu.Lock()
	recordFile.Flush()
	os.RemoveAll(workDir)
	os.Exit(code)
}

// fail ends a case that couldn't run.
func fail(text string) {
	record("could not run: %s", text)
	fmt.Println("could not run:", text)
	finish(2)
}

func must(err error) {
	if err != nil {
		fail(err.Error())
	}
}

// verdict ends a case: broken holds the breaks of the rule.
func verdict(broken []string) {
	for _, b := range broken {
		record("BROKEN %s", b)
	}
	record("%d breaks", len(broken))
	fmt.Printf("trouble %v: %d breaks\n", trouble, len(broken))
	if len(broken) > 0 {
		fmt.Println("first:", broken[0])
		finish(1)
	}
	finish(0)
}

var cases = map[string]func(){}

func init() { runtime.LockOSThread() } // the nodes end with the thread that started them

// main runs: rig CASE FOLDER, from the repository's root.
func main() {
	var err error
	rootDir, err = os.Getwd()
	if err != nil || len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: rig CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = bufio.NewWriter(f)
	workDir, err = os.MkdirTemp("", "review")
	must(err)
	time.AfterFunc(115*time.Second, func() { fail("no end after 115 s") })
	cases[os.Args[1]]()
	fail("the case ended without a verdict")
}
