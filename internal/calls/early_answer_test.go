package calls

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/result"
)

// TestEarlyAnswerThatBreaksOffIsNotDelivered guards against a part of a service's answer that passes for a whole one, where
// the service answers a long call at once without a length.
func TestEarlyAnswerThatBreaksOffIsNotDelivered(t *testing.T) {
	const (
		runs      = 10 // two goroutines compete for the error of the connection
		bodyBytes = 16 << 20
	)
	p := newPlainClient(nil, nil, nil)
	defer p.http.CloseIdleConnections()
	e := &pb.Endpoint{Name: "ledger-1", Url: "http://" + answerheadtest.ServeConn(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_, _ = io.CopyN(io.Discard, conn, bodyBytes/4) // meanwhile the answer is read
			_ = conn.SetLinger(0)
		}
	})}
	for range runs {
		call := &ServiceCall{Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte{'x'}, bodyBytes), TimeLeft: time.Minute}
		answer, err := p.send(t.Context(), e, call)
		must.Error(t, err, must.Sprint(answer))
		test.Eq(t, result.MayHaveRun, result.From(err).RunState)
	}
}
