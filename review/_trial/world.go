package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	program = "target/cherryward"
	key     = "review-key"
	// heartbeatInterval and startTimeout belong to the stand-ins and to the start of a node.
	heartbeatInterval = 1200 * time.Millisecond
	startTimeout      = 20 * time.Second
)

// world is the site, its nodes, and the record of what was seen.
type world struct {
	site    *site.Site
	dir     string
	began   time.Time
	trouble string // the variable TROUBLE: 0 for none
	nodes   []*node

	mu     sync.Mutex
	record *os.File
}

// node is a node's process.
type node struct {
	name, addr, ready string
	cmd               *exec.Cmd
	ended             chan struct{}
}

func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, began: time.Now(), trouble: os.Getenv("TROUBLE"), record: file}, nil
}

// log writes a line with the time since the start into the record and to standard output.
func (w *world) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintln(w.record, line)
	fmt.Println(line)
}

// startSite starts the stand-ins of the platform and the servers.
func (w *world) startSite(c site.Config) (err error) {
	c.HeartbeatInterval = heartbeatInterval
	if w.site, err = site.Start(c); err != nil {
		return err
	}
	w.site.Configure(1, key)
	w.site.SetTargetVersion(1)
	return nil
}

var startLine = regexp.MustCompile(`callers=(\S+).*event=start`)

// startNode starts a node with the command of the deploy file, and waits until it is ready.
func (w *world) startNode(name string) (*node, error) {
	ready, err := freeAddr()
	if err != nil {
		return nil, err
	}
	boot := strings.Replace(w.site.BootFile(name), `ready = "127.0.0.1:0"`, fmt.Sprintf("ready = %q", ready), 1)
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(boot), 0o600); err != nil {
		return nil, err
	}
	n := &node{name: name, ready: ready, cmd: exec.Command(program, "run"), ended: make(chan struct{})}
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.BootEnv + "=" + file}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := n.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	n.cmd.Stderr = n.cmd.Stdout
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	addr := make(chan string, 1)
	go w.watch(n, out, addr)
	select {
	case n.addr = <-addr:
	case <-n.ended:
		return nil, fmt.Errorf("%s ended at its start", name)
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("%s doesn't listen", name)
	}
	for began := time.Now(); !n.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > startTimeout {
			return nil, fmt.Errorf("%s isn't ready", name)
		}
	}
	w.log("%s is ready, process %d", name, n.cmd.Process.Pid)
	return n, nil
}

// watch copies the node's log into a file and reports the address of its listener, and its end.
func (w *world) watch(n *node, out io.Reader, addr chan<- string) {
	defer close(n.ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if found := startLine.FindStringSubmatch(lines.Text()); found != nil {
			addr <- found[1]
		}
		if os.Getenv("VERBOSE") != "" {
			fmt.Println(n.name, lines.Text())
		}
	}
	_ = n.cmd.Wait()
	w.log("%s ended: %v", n.name, n.cmd.ProcessState)
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the node and records it.
func (w *world) signal(n *node, s syscall.Signal) {
	w.log("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s) // fails if it has ended
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (w *world) close() {
	for _, n := range w.nodes {
		_ = n.cmd.Process.Kill() // fails if it has ended
		<-n.ended
	}
	if w.site != nil {
		w.site.Close()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// answer is what a client saw of one request.
type answer struct {
	id      string
	sent    time.Time // when its first byte was sent
	status  int       // 0 if no header arrived
	body    string
	err     error // why the answer ended early; nil if it is complete
	elapsed time.Duration
}

// request returns a request to a node. session is empty for plain requests.
func (w *world) request(n *node, method, path, id, session string) (*http.Request, error) {
	return site.Request(context.Background(), n.addr, method, path, key, id, session)
}

// exchange sends a request over an open connection, as a client that keeps to HTTP/1.1, and reads its
// answer to the end.
func (w *world) exchange(conn net.Conn, req *http.Request, id string) *answer {
	a := &answer{id: id, sent: time.Now()}
	w.log("%s sent", id)
	defer func() {
		a.elapsed = time.Since(a.sent)
		w.log("%s answered after %d ms: status %d, %d bytes, %s", id, a.elapsed.Milliseconds(), a.status, len(a.body), complete(a.err))
	}()
	if a.err = req.Write(conn); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	var body []byte
	body, a.err = io.ReadAll(resp.Body)
	a.body = string(body)
	return a
}

func complete(err error) string {
	if err == nil {
		return "complete"
	}
	return "not complete: " + err.Error()
}
