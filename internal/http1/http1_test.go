package http1_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"irispost/internal/http1"
	"irispost/internal/testkit"
)

// Heads of valid requests, without the empty line.
const (
	getHead = "GET / HTTP/1.1\r\nHost: a\r\n"
	putHead = "PUT / HTTP/1.1\r\nHost: a\r\n"
)

func newReader(s string) *bufio.Reader {
	return bufio.NewReaderSize(strings.NewReader(s), http1.MaxLineBytes)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("a", 5000)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"binary data":            {"\x16\x03\x01\x02\x00\r\n\r\n", 400},
		"no request line":        {"hello there\r\n\r\n", 400},
		"bare line feed":         {"GET / HTTP/1.1\nHost: a\n\n", 400},
		"HTTP/1.0":               {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505},
		"target without slash":   {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"long target":            {"GET /" + long + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
		"long field":             {getHead + "X: " + long + "\r\n\r\n", 431},
		"endless fields":         {getHead + strings.Repeat("X: 1\r\n", 2000), 431},
		"folded line":            {getHead + "X: 1\r\n 2\r\n\r\n", 400},
		"space before the colon": {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"no Host field":          {"GET / HTTP/1.1\r\n\r\n", 400},
		"two Host fields":        {getHead + "Host: b\r\n\r\n", 400},
		"zero byte":              {"GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", 400},
		"negative length":        {putHead + "Content-Length: -1\r\n\r\n", 400},
		"length with a sign":     {putHead + "Content-Length: +1\r\n\r\n", 400},
		"huge length":            {putHead + "Content-Length: 99999999999999999999999\r\n\r\n", 400},
		"60 MB":                  {putHead + "Content-Length: 60000000\r\n\r\n", 413},
		"two lengths":            {putHead + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400},
		"length and chunks":      {putHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunks and length":      {putHead + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400},
		"unknown coding":         {putHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"two codings":            {putHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"unknown expectation":    {putHead + "Expect: gold\r\n\r\n", 417},
	} {
		_, err := http1.ReadRequest(newReader(c.text), http1.DefaultLimits)
		var rejected *http1.Error
		if !errors.As(err, &rejected) || rejected.Status != c.status {
			t.Errorf("%s: got error %v, want status %d", name, err, c.status)
		}
	}
}

func TestIncompleteRequestIsNotEndOfConnection(t *testing.T) {
	_, err := http1.ReadRequest(newReader("GET / HTTP/1.1\r\nHo"), http1.DefaultLimits)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated head: got error %v, want unexpected EOF", err)
	}
	_, err = http1.ReadRequest(newReader(""), http1.DefaultLimits)
	if !errors.Is(err, io.EOF) {
		t.Errorf("connection closed between two requests: got error %v, want EOF", err)
	}
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no size":        "\r\n",
		"negative size":  "-1\r\n",
		"signed size":    "+1\r\na\r\n0\r\n\r\n",
		"huge size":      "fffffffff\r\n",
		"over the limit": "ffff\r\n" + strings.Repeat("a", 0xffff) + "\r\n2\r\nab\r\n0\r\n\r\n",
		"too long chunk": "1\r\nab\r\n0\r\n\r\n",
		"truncated":      "5\r\nab",
	} {
		if b, err := http1.ReadBody(newReader(text), http1.Framing{Chunked: true}, http1.DefaultLimits); err == nil {
			t.Errorf("%s: got body %.20q, want an error", name, b)
		}
	}
}

func TestChunkedBodyIsRead(t *testing.T) {
	text := "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n"
	body, err := http1.ReadBody(newReader(text), http1.Framing{Chunked: true}, http1.DefaultLimits)
	if err != nil || string(body) != "abc0123456789" {
		t.Errorf("got body %q, error %v, want abc0123456789", body, err)
	}
}

func TestInvalidResponsesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"binary data":            "\x00\x01\x02\r\n\r\n",
		"another version":        "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no status":              "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n",
		"status 99":              "HTTP/1.1 99 OK\r\nContent-Length: 0\r\n\r\n",
		"3 GB":                   "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
		"negative length":        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
		"two lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
		"truncated body":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"endless head":           "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: abcdefgh\r\n", 2000),
		"switch of protocols":    "HTTP/1.1 101 Switch\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"only 1xx responses":     strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100),
		"EOF after 100 Continue": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		if a, err := http1.ReadResponse(newReader(text), http1.DefaultLimits); err == nil {
			t.Errorf("%s: got %+v, want an error", name, a)
		}
	}
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	reader := newReader("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\nConnection: Close\r\n\r\nabcdef")
	response, err := http1.ReadResponse(reader, http1.DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != 200 || string(response.Body) != "abc" || !response.Close || reader.Buffered() != 3 {
		t.Errorf("got %+v, want status 200, body abc, Close, and def left in the reader", response)
	}
}

// headWithoutLength is the head of a response whose body ends when the connection closes.
const headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"

// TestResponseWithoutLengthEndsWithConnection: a response without a length ends with the orderly close of the
// connection. A reset or any other error does not end it, but makes it fail.
func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	response, err := http1.ReadResponse(newReader(headWithoutLength+strings.Repeat("a", 40_000)), http1.DefaultLimits)
	if err != nil || len(response.Body) != 40_000 || !response.Close {
		t.Errorf("orderly close: got error %v, want a body of 40000 bytes and Close", err)
	}
	for _, end := range []error{syscall.ECONNRESET, os.ErrDeadlineExceeded} {
		in := io.MultiReader(strings.NewReader(headWithoutLength+"abc"), iotest.ErrReader(end))
		response, err := http1.ReadResponse(bufio.NewReaderSize(in, http1.MaxLineBytes), http1.DefaultLimits)
		if !errors.Is(err, end) {
			t.Errorf("connection fails with %v: got %+v, %v, want the same error", end, response, err)
		}
	}
}

// TestLongBodyIsReadIfAdmitted: a body above MaxBodyBytes is read only if AdmitLongBody admits it. If its length is
// not known in advance, at most MaxLongBody bytes are read.
func TestLongBodyIsReadIfAdmitted(t *testing.T) {
	long := headWithoutLength + strings.Repeat("a", 70_000)
	if _, err := http1.ReadResponse(newReader(long), http1.DefaultLimits); err == nil {
		t.Error("a body above the limit is read, want an error")
	}
	limits, requestedBytes := http1.DefaultLimits, int64(0)
	limits.MaxLongBody = 80_000
	limits.AdmitLongBody = func(bytes int64) bool {
		requestedBytes += bytes
		return true
	}
	response, err := http1.ReadResponse(newReader(long), limits)
	if err != nil || len(response.Body) != 70_000 || requestedBytes != limits.MaxLongBody {
		t.Errorf("admitted body: got error %v, asked to admit %d; want 70000 bytes, asked for 80000", err, requestedBytes)
	}
	if _, err := http1.ReadResponse(newReader(long+long), limits); err == nil {
		t.Error("a body above MaxLongBody is read, want an error")
	}
	chunk := func(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("a", bytes)) }
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(chunk(0x4000), 4) + chunk(0x1000) + "0\r\n\r\n"
	response, err = http1.ReadResponse(newReader(chunked), limits)
	if err != nil || len(response.Body) != 0x11000 {
		t.Errorf("admitted chunked body: got error %v, want a body of 0x11000 bytes", err)
	}
}

// TestWrittenMessagesReadBack: any request or response reads back as it was written, even if it arrives byte by byte.
func TestWrittenMessagesReadBack(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		target := "/" + rapid.StringMatching(`[a-z0-9?=&%]{0,40}`).Draw(t, "target")
		value := rapid.StringMatching(`[!-~]([ -~]{0,30}[!-~])?`).Draw(t, "value")
		byteByByte := func(message []byte) *bufio.Reader {
			return bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(message)), http1.MaxLineBytes)
		}
		reader := byteByByte(http1.NewRequest("PUT", target).Field("Host", "a").Field("X-V", value).Body(body, true))
		request, err := http1.ReadRequest(reader, http1.DefaultLimits)
		if err != nil {
			t.Fatal(err)
		}
		gotBody, err := http1.ReadBody(reader, request.Framing, http1.DefaultLimits)
		if err != nil || !bytes.Equal(gotBody, body) {
			t.Fatalf("%+v: got body %q, error %v, want the body that was written", request, gotBody, err)
		}
		gotValue, ok := request.Fields.Get("x-v")
		if request.Method != "PUT" || request.Target != target || !ok || gotValue != value {
			t.Fatalf("got %+v, want the method, target and X-V field that were written", request)
		}
		reader = byteByByte(http1.NewResponse(200).Field("X-V", value).Body(body, true))
		response, err := http1.ReadResponse(reader, http1.DefaultLimits)
		if err != nil || !bytes.Equal(response.Body, body) || response.Status != 200 {
			t.Fatalf("got %+v, error %v, want status 200 and the body that was written", response, err)
		}
	})
}

// TestRandomBytesStayWithinLimits: random sequences of valid and invalid pieces cause no panic, and no body exceeds
// the limit.
func TestRandomBytesStayWithinLimits(t *testing.T) {
	pieces := []string{"GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "Host: a\r\n", "Content-Length: 5\r\n",
		"Content-Length: 3000000000\r\n", "Transfer-Encoding: chunked\r\n", "\r\n", "5\r\n", "abcde", "0\r\n", "\n",
		"\x00", ":", " ", "HTTP/1.1 100 C\r\n\r\n", "Connection: close\r\n"}
	limits := http1.DefaultLimits
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 30).Draw(t, "pieces"), "")
		reader := newReader(text)
		if request, err := http1.ReadRequest(reader, limits); err == nil {
			body, err := http1.ReadBody(reader, request.Framing, limits)
			if err == nil && int64(len(body)) > limits.MaxBodyBytes {
				t.Fatalf("got a body of %d bytes, want at most MaxBodyBytes", len(body))
			}
			if request.Fields.Count("content-length") > 0 && request.Fields.Count("transfer-encoding") > 0 {
				t.Fatal("a request with both Content-Length and Transfer-Encoding is accepted")
			}
		}
		response, err := http1.ReadResponse(newReader(text), limits)
		if err == nil && (int64(len(response.Body)) > limits.MaxBodyBytes || response.Status < 200) {
			t.Fatalf("got %+v, want a status of at least 200 and a body of at most MaxBodyBytes", response)
		}
	})
}
