package calls

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/result"
)

// TestAnswersTogetherAreBounded guards against services whose bodies without end, each within its bound, together take a
// host's memory.
func TestAnswersTogetherAreBounded(t *testing.T) {
	const (
		calls     = 6
		mostHeld  = 2        // for which there is memory
		bodyBytes = 40 << 20 // takes a buffer of the largest size
	)
	release := make(chan struct{})
	p := newPlainClient(nil, nil, nil)
	defer p.http.CloseIdleConnections()
	e := &pb.Endpoint{Name: "ledger-1", Url: "http://" + answerheadtest.ServeConn(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = conn.Write(bytes.Repeat([]byte{'x'}, bodyBytes)) // fails if the client has no memory
		<-release
	})}
	errs := make(chan error, calls)
	for range calls {
		go func() {
			answer, err := p.send(t.Context(), e, &ServiceCall{Method: http.MethodPost, Path: "/", TimeLeft: time.Minute})
			if err == nil {
				answer.Release()
			}
			errs <- err
		}()
	}
	for range calls - mostHeld {
		select {
		case err := <-errs:
			must.ErrorIs(t, err, errNoMemory)
			must.Eq(t, result.MayHaveRun, result.From(err).RunState)
		case <-time.After(20 * time.Second):
			t.Fatal("answers have no bound together")
		}
	}
	close(release)
	for range mostHeld {
		<-errs
	}
	must.Zero(t, p.answers.Used())
}

// TestAnswerIsRead guards against bodies that are changed by the growth of their buffer, or longer than the bound.
func TestAnswerIsRead(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, 1 << 20, maxAnswerBytes, maxAnswerBytes + 1} {
		p := newPlainClient(nil, nil, nil)
		answer := &ServiceAnswer{}
		answer.memory.Pool = p.answers
		body := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		err := answer.readBody(bytes.NewReader(body))
		if size > maxAnswerBytes {
			must.ErrorIs(t, err, errAnswerTooLong)
		} else {
			must.NoError(t, err)
			must.True(t, bytes.Equal(body, answer.Body))
		}
		answer.Release()
		must.Zero(t, p.answers.Used())
	}
}
