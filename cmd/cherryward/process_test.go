package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"os/exec"

	"github.com/cherryward/cherryward/scenarios/processtest"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// nodeEnv is the environment variable that makes the test binary run as the program.
	nodeEnv = "CHERRYWARD_TEST_NODE"
	key     = "signal-key"

	pollInterval  = 5 * time.Millisecond
	awaitTimeout  = 20 * time.Second
	eventInterval = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		main()
	}
	os.Exit(m.Run())
}

// node is a process of the program in gateway mode.
type node struct {
	t        *testing.T
	site     *site.Site
	bootFile string
	cmd      *exec.Cmd
	logRead  *os.File // end of the log's pipe at which the test reads
	ended    chan struct{}

	mu  sync.Mutex
	log []string
}

func startSite(t *testing.T) *site.Site {
	s, err := site.Start(site.Config{HeartbeatInterval: 200 * time.Millisecond, EventInterval: eventInterval})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.Configure(1, key)
	s.SetTargetVersion(1)
	return s
}

// newNode starts a process of the program with the given boot file, which is not written yet.
func newNode(t *testing.T, s *site.Site, bootFile string) *node {
	n := &node{t: t, site: s, bootFile: bootFile, ended: make(chan struct{})}
	n.cmd = exec.Command(os.Args[0], "run", "--boot", bootFile)
	n.cmd.Env = append(os.Environ(), nodeEnv+"=1")
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var logWrite *os.File
	var err error
	n.logRead, logWrite, err = os.Pipe()
	must.NoError(t, err)
	n.cmd.Stdout = logWrite
	n.cmd.Stderr = os.Stderr
	must.NoError(t, n.cmd.Start())
	must.NoError(t, logWrite.Close())
	go n.readLog()
	go func() {
		_ = n.cmd.Wait() // the exit state is checked by the tests
		close(n.ended)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill() // fails if it has ended
		<-n.ended
	})
	return n
}

// The limits of a host in the site's boot file.
const (
	siteMemoryMB = 256
	siteFiles    = 1024
)

// startNode starts a node and waits until it serves requests.
func startNode(t *testing.T, s *site.Site) *node { return startNodeWith(t, s, siteMemoryMB, siteFiles) }

// startNodeWith starts a node on a host with the given memory and number of descriptors, and waits until it serves requests.
func startNodeWith(t *testing.T, s *site.Site, memoryMB, files int) *node {
	boot := s.BootFile("n")
	for setting, limit := range map[string][2]int{"memory-mb": {siteMemoryMB, memoryMB}, "max-fds": {siteFiles, files}} {
		usual := fmt.Sprintf("%s = %d\n", setting, limit[0])
		must.StrContains(t, boot, usual)
		boot = strings.Replace(boot, usual, fmt.Sprintf("%s = %d\n", setting, limit[1]), 1)
	}
	bootFile := filepath.Join(t.TempDir(), "boot.toml")
	must.NoError(t, os.WriteFile(bootFile, []byte(boot), 0o600))
	n := newNode(t, s, bootFile)
	n.awaitServing()
	return n
}

func (n *node) readLog() {
	lines := bufio.NewScanner(n.logRead)
	for lines.Scan() {
		n.mu.Lock()
		n.log = append(n.log, lines.Text())
		n.mu.Unlock()
	}
}

// await polls until a condition holds, and fails the test if the process ends before, or after awaitTimeout.
func (n *node) await(what string, holds func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !holds(); time.Sleep(pollInterval) {
		select {
		case <-n.ended:
			n.t.Fatalf("the node ended (%v) before: %s", n.cmd.ProcessState, what)
		default:
		}
		if time.Now().After(deadline) {
			n.t.Fatalf("not in time: %s", what)
		}
	}
}

// logged returns the log lines that contain all the given fields.
func (n *node) logged(fields ...string) (lines []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.log {
		matches := true
		for _, f := range fields {
			matches = matches && strings.Contains(line, f)
		}
		if matches {
			lines = append(lines, line)
		}
	}
	return lines
}

func (n *node) awaitLog(fields ...string) {
	n.t.Helper()
	n.await(fmt.Sprint("a log line with ", fields), func() bool { return len(n.logged(fields...)) > 0 })
}

func (n *node) addr() string {
	n.awaitLog("event=start ")
	addr, ok := processtest.CallersAddr(n.logged("event=start ")[0])
	must.True(n.t, ok)
	return addr
}

func (n *node) awaitServing() {
	n.t.Helper()
	tries := 0
	n.await("a lookup is served", func() bool {
		tries++
		return n.send(http.MethodGet, site.PathLookup, fmt.Sprint("serving-", tries), 0, nil).status == http.StatusOK
	})
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) } // fails if it has ended

// answer is the answer to a request; err is not nil if it is not complete.
type answer struct {
	status int
	body   string
	err    error
}

// send sends a request on a connection of its own and reads its answer to the end. Streams are requested by prompts,
// resumed after lastEvent if that is not 0.
func (n *node) send(method, path, id string, lastEvent int, body io.Reader) answer {
	session := ""
	if path == site.PathSummary || path == site.PathQuery {
		session = "5e55"
	}
	req, err := site.Request(context.Background(), n.addr(), method, path, key, id, session)
	if err != nil {
		return answer{err: err}
	}
	if body != nil {
		req.Body = io.NopCloser(body)
	}
	if lastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), err: err}
}

// sendUntilTaken sends a request for a stream again until it is not refused as not run. A node that has just started
// may not know of the release that began a stream, or of enough slots.
func (n *node) sendUntilTaken(path, id string, lastEvent int) (a answer) {
	for try := 0; a.status == 0 && a.err == nil || a.status == http.StatusServiceUnavailable; try++ {
		time.Sleep(pollInterval)
		a = n.send(http.MethodPost, path, fmt.Sprint(id, "-", try), lastEvent, nil)
	}
	return a
}

// awaitRuns waits until the stand-ins run all requests whose id has the given prefix.
func (n *node) awaitRuns(prefix string, want int) {
	n.t.Helper()
	n.await(fmt.Sprint(want, " runs of ", prefix), func() bool {
		count := 0
		for _, s := range n.site.Models {
			for _, r := range s.Runs() {
				if strings.HasPrefix(r.Request, prefix) {
					count++
				}
			}
		}
		return count == want
	})
}

// awaitExit waits until the process has ended by itself and checks that it was not by a signal or with an error.
func (n *node) awaitExit() {
	n.t.Helper()
	select {
	case <-n.ended:
		must.Eq(n.t, "exit status 0", n.cmd.ProcessState.String())
	case <-time.After(awaitTimeout):
		n.t.Fatal("the node did not end")
	}
}
