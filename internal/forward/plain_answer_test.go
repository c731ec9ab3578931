package forward_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test"
)

// TestEncodedStreams checks that a caller that accepts content encodings still receives events one
// by one, and that an encoded stream, in which event boundaries can't be found, is delivered in
// full or not at all.
func TestEncodedStreams(t *testing.T) {
	h := newRawTestHandler(t, script{answer: func(r *http.Request) string {
		if r.Header.Get("Accept-Encoding") != "" {
			return head(http.StatusInternalServerError, contentLength(0))
		}
		return streamOf(events(1, streamSize), -1)
	}})
	got := h.do(t, http.MethodPost, streamPath, "prompt", func(r *http.Request) { r.Header.Set("Accept-Encoding", "br") })
	test.Eq(t, http.StatusOK, got.status)
	test.Eq(t, events(1, streamSize), got.body)

	encoded := head(http.StatusOK, eventStream+chunkedEncoding+"Content-Encoding: br\r\n") + chunk("\n\nid: ")
	h = newRawTestHandler(t, fixedAnswer(encoded), fixedAnswer(encoded+chunk("x")+lastChunk))
	got = h.do(t, http.MethodPost, resumePath, "prompt", nil)
	test.Eq(t, http.StatusOK, got.status)
	test.Eq(t, "\n\nid: x", got.body)
}

// tooLong is the length of an answer that is too long to buffer.
const tooLong = 16<<20 + 1

// TestPlainAnswers checks that a plain answer is delivered as the endpoint sent it, or not at all.
func TestPlainAnswers(t *testing.T) {
	tests := []struct {
		name   string
		method string
		answer string
		status int
		length string // expected Content-Length header
	}{
		{name: "whole", method: http.MethodGet, answer: head(http.StatusOK, contentLength(2)) + "ok", status: http.StatusOK, length: "2"},
		{name: "without a length", method: http.MethodGet, answer: head(http.StatusOK, "") + "ok", status: http.StatusOK, length: "2"},
		{name: "without a length, empty", method: http.MethodGet, answer: head(http.StatusOK, ""), status: http.StatusBadGateway},
		{name: "shorter than its length", method: http.MethodGet, answer: head(http.StatusOK, contentLength(3)) + "ok", status: http.StatusBadGateway},
		{name: "without its last chunk", method: http.MethodGet, answer: head(http.StatusOK, chunkedEncoding) + chunk("ok"), status: http.StatusBadGateway},
		{name: "with a trailer", method: http.MethodGet, answer: head(http.StatusOK, chunkedEncoding) + chunk("ok") + "0\r\nX-Sum: 1\r\n\r\n", status: http.StatusOK, length: "2"},
		{name: "too long to buffer", method: http.MethodGet, answer: head(http.StatusOK, contentLength(tooLong)) + strings.Repeat("x", tooLong), status: http.StatusOK, length: strconv.Itoa(tooLong)},
		{name: "no content", method: http.MethodGet, answer: head(http.StatusNoContent, ""), status: http.StatusNoContent},
		{name: "not modified", method: http.MethodGet, answer: head(http.StatusNotModified, contentLength(7)), status: http.StatusNotModified},
		{name: "head", method: http.MethodHead, answer: head(http.StatusOK, contentLength(7)), status: http.StatusOK, length: "7"},
		{name: "head without a length", method: http.MethodHead, answer: head(http.StatusOK, ""), status: http.StatusOK},
		{name: "head of a stream", method: http.MethodHead, answer: head(http.StatusOK, eventStream), status: http.StatusOK},
		{name: "early hints and continue first", method: http.MethodGet, answer: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + head(http.StatusOK, contentLength(2)) + "ok", status: http.StatusOK, length: "2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newRawTestHandler(t, fixedAnswer(tc.answer))
			got := h.do(t, tc.method, uploadPath, "", nil)
			test.Eq(t, tc.status, got.status)
			test.NoError(t, got.err)
			if tc.method != http.MethodHead && tc.length != "" {
				test.Eq(t, tc.length, strconv.Itoa(len(got.body)))
			}
			if tc.status < http.StatusBadRequest {
				test.Eq(t, tc.length, got.header.Get("Content-Length"))
			}
		})
	}
}

// TestLongAnswerThatBreaksOff checks that nothing is sent after a long answer that breaks off, and
// that the caller can see that it is incomplete.
func TestLongAnswerThatBreaksOff(t *testing.T) {
	part := strings.Repeat("x", tooLong)
	h := newRawTestHandler(t, fixedAnswer(head(http.StatusOK, chunkedEncoding)+chunk(part)), fixedAnswer(streamOf(events(1, streamSize), -1)))
	got := h.do(t, http.MethodPost, resumePath, "prompt", nil)
	test.Eq(t, http.StatusOK, got.status)
	test.Error(t, got.err)
	test.True(t, got.body == part, test.Sprint(len(got.body)))
}
