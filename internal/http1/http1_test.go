package http1_test

import (
	"bufio"
	"bytes"
	"errors"
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

func reader(s string) *bufio.Reader {
	return bufio.NewReaderSize(strings.NewReader(s), http1.MaxLineBytes)
}

func TestRequestsThatAreRefused(t *testing.T) {
	long := strings.Repeat("a", 5000)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"noise":                     {"\x16\x03\x01\x02\x00\r\n\r\n", 400},
		"words":                     {"hello there\r\n\r\n", 400},
		"bare line feed":            {"GET / HTTP/1.1\nHost: a\n\n", 400},
		"HTTP/1.0":                  {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505},
		"target without slash":      {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"long target":               {"GET /" + long + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
		"long field":                {"GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", 431},
		"endless fields":            {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: 1\r\n", 2000), 431},
		"folded line":               {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", 400},
		"space before the colon":    {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"no host":                   {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":                 {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"zero byte":                 {"GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", 400},
		"negative length":           {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
		"length with a sign":        {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", 400},
		"huge length":               {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
		"60 MB":                     {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n", 413},
		"two lengths":               {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400},
		"length and chunks":         {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunks and length":         {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400},
		"unknown coding":            {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"coding written twice":      {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"an expectation of another": {"PUT / HTTP/1.1\r\nHost: a\r\nExpect: gold\r\n\r\n", 417},
	} {
		_, err := http1.ReadRequest(reader(c.text), http1.DefaultLimits)
		var wrong *http1.Error
		if !errors.As(err, &wrong) || wrong.Status != c.status {
			t.Errorf("%s: %v, not %d", name, err, c.status)
		}
	}
	if _, err := http1.ReadRequest(reader("GET / HTTP/1.1\r\nHo"), http1.DefaultLimits); err != io.ErrUnexpectedEOF {
		t.Errorf("a head that is cut off: %v", err)
	}
	if _, err := http1.ReadRequest(reader(""), http1.DefaultLimits); err != io.EOF {
		t.Errorf("an end between two requests: %v", err)
	}
}

func TestBodiesThatAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"no size":        "\r\n",
		"negative size":  "-1\r\n",
		"signed size":    "+1\r\na\r\n0\r\n\r\n",
		"huge size":      "fffffffff\r\n",
		"too much":       "ffff\r\n" + strings.Repeat("a", 0xffff) + "\r\n2\r\nab\r\n0\r\n\r\n",
		"longer than it": "1\r\nab\r\n0\r\n\r\n",
		"cut off":        "5\r\nab",
	} {
		if b, err := http1.ReadBody(reader(text), http1.Framing{Chunked: true}, http1.DefaultLimits); err == nil {
			t.Errorf("%s: read as %.20q", name, b)
		}
	}
	b, err := http1.ReadBody(reader("3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n"), http1.Framing{Chunked: true}, http1.DefaultLimits)
	if err != nil || string(b) != "abc0123456789" {
		t.Errorf("%q, %v", b, err)
	}
}

func TestAnswersThatAreSpoilt(t *testing.T) {
	for name, text := range map[string]string{
		"noise":                  "\x00\x01\x02\r\n\r\n",
		"another version":        "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no status":              "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n",
		"status 99":              "HTTP/1.1 99 OK\r\nContent-Length: 0\r\n\r\n",
		"3 GB":                   "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
		"negative length":        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
		"two lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
		"cut off":                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"endless head":           "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: abcdefgh\r\n", 2000),
		"a switch of protocols":  "HTTP/1.1 101 Switch\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"nothing but 100s":       strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100),
		"an end after the 100th": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		if a, err := http1.ReadResponse(reader(text), http1.DefaultLimits); err == nil {
			t.Errorf("%s: read as %+v", name, a)
		}
	}
	r := reader("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\nConnection: Close\r\n\r\nabcdef")
	a, err := http1.ReadResponse(r, http1.DefaultLimits)
	if err != nil || a.Status != 200 || string(a.Body) != "abc" || !a.Close || r.Buffered() != 3 {
		t.Errorf("%+v, %v", a, err)
	}
}

// TestAnswerWithoutALength ends with its connection's orderly end, within the bounds; a reset, or any other trouble, is no end.
func TestAnswerWithoutALength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	a, err := http1.ReadResponse(reader(head+strings.Repeat("a", 40_000)), http1.DefaultLimits)
	if err != nil || len(a.Body) != 40_000 || !a.Close {
		t.Errorf("an orderly end: %v", err)
	}
	for _, end := range []error{syscall.ECONNRESET, os.ErrDeadlineExceeded} {
		in := bufio.NewReaderSize(io.MultiReader(strings.NewReader(head+"abc"), iotest.ErrReader(end)), http1.MaxLineBytes)
		if a, err := http1.ReadResponse(in, http1.DefaultLimits); !errors.Is(err, end) {
			t.Errorf("%v: read as %+v, %v", end, a, err)
		}
	}
	long := head + strings.Repeat("a", 70_000)
	if _, err := http1.ReadResponse(reader(long), http1.DefaultLimits); err == nil {
		t.Error("one over the bound is read")
	}
	b, asked := http1.DefaultLimits, int64(0)
	b.MaxLongBody, b.AdmitLongBody = 80_000, func(n int64) bool { asked += n; return true }
	if a, err := http1.ReadResponse(reader(long), b); err != nil || len(a.Body) != 70_000 || asked != b.MaxLongBody {
		t.Errorf("one for which there is room: %v, asked for %d", err, asked)
	}
	if _, err := http1.ReadResponse(reader(long+long), b); err == nil {
		t.Error("one over what may be asked for is read")
	}
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n", 4) + "1000\r\n" + strings.Repeat("a", 0x1000) +
		"\r\n0\r\n\r\n"
	if a, err := http1.ReadResponse(reader(chunks), b); err != nil || len(a.Body) != 0x11000 {
		t.Errorf("one in chunks for which there is room: %v", err)
	}
}

// TestWhatIsWrittenIsRead has any request and answer come back as it was, however the bytes are cut.
func TestWhatIsWrittenIsRead(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		target := "/" + rapid.StringMatching(`[a-z0-9?=&%]{0,40}`).Draw(t, "target")
		value := rapid.StringMatching(`[!-~]([ -~]{0,30}[!-~])?`).Draw(t, "value")
		text := http1.NewRequest("PUT", target).Field("Host", "a").Field("X-V", value).Body(body, true)
		in := func(b []byte) *bufio.Reader {
			return bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(b)), http1.MaxLineBytes)
		}
		r := in(text)
		q, err := http1.ReadRequest(r, http1.DefaultLimits)
		if err != nil {
			t.Fatal(err)
		}
		got, err := http1.ReadBody(r, q.Framing, http1.DefaultLimits)
		if v, ok := q.Fields.Get("x-v"); err != nil || !bytes.Equal(got, body) || q.Method != "PUT" || q.Target != target || !ok || v != value {
			t.Fatalf("%+v %q %v", q, got, err)
		}
		a, err := http1.ReadResponse(in(http1.NewResponse(200).Field("X-V", value).Body(body, true)), http1.DefaultLimits)
		if err != nil || !bytes.Equal(a.Body, body) || a.Status != 200 {
			t.Fatalf("%+v %v", a, err)
		}
	})
}

// TestAnyBytes has the readers take anything without a panic, and hold no more than the bounds.
func TestAnyBytes(t *testing.T) {
	pieces := []string{"GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "Host: a\r\n", "Content-Length: 5\r\n", "Content-Length: 3000000000\r\n",
		"Transfer-Encoding: chunked\r\n", "\r\n", "5\r\n", "abcde", "0\r\n", "\n", "\x00", ":", " ", "HTTP/1.1 100 C\r\n\r\n", "Connection: close\r\n"}
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 30).Draw(t, "pieces"), "")
		b := http1.DefaultLimits
		r := reader(text)
		if q, err := http1.ReadRequest(r, b); err == nil {
			if body, err := http1.ReadBody(r, q.Framing, b); err == nil && int64(len(body)) > b.MaxBodyBytes {
				t.Fatalf("%d bytes", len(body))
			}
			if q.Fields.Count("content-length") > 0 && q.Fields.Count("transfer-encoding") > 0 {
				t.Fatal("framed in two ways")
			}
		}
		if a, err := http1.ReadResponse(reader(text), b); err == nil && (int64(len(a.Body)) > b.MaxBodyBytes || a.Status < 200) {
			t.Fatalf("%+v", a)
		}
	})
}
