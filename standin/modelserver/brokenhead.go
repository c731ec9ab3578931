package modelserver

import (
	"fmt"
	"net/http"
)

// brokenHeads are what a server in trouble sends in place of a response. Each holds the lines of a sound head, with the
// id of the request, at "%s".
var brokenHeads = []string{
	"HTTP/1.1 000 Trouble\r\n%sContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 101 Switching Protocols\r\n%s\r\nwhole",
	"HTTP/1.1 600 Trouble\r\n%sContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n%s\r\n5\r\nwhole\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n%sContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n%sContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n5\r\nwhole\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sContent-Len",
}

// BrokenHeads is the number of forms of Faults.BrokenHead.
var BrokenHeads = len(brokenHeads)

// serveBrokenHead sends the given form and closes the connection.
func (s *Server) serveBrokenHead(w http.ResponseWriter, form int, id string) {
	conn := hijack(w)
	defer conn.Close()
	lines := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n", id, s.cfg.ID)
	fmt.Fprintf(conn, brokenHeads[form-1], lines) // fails if the client has closed
}
