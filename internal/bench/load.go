package bench

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"irispost/internal/scale/meter"
	"irispost/internal/sftp"
)

const (
	// fileCount is the number of files that a case accesses in turn. With a single file, writes to one extent, which
	// the gateway executes in order, would limit the result.
	fileCount = 64

	fileBytes  = 256 << 10
	writeBytes = 32 << 10 // size of a request that fills a file

	maximumMicros     = 60_000_000
	significantDigits = 3
)

// loadClient is a client with open files at a gateway or at the node.
type loadClient struct {
	client  *client
	handles []string
}

// loadResult is the result of one measurement.
type loadResult struct {
	rate   float64 // requests per second
	p50    float64 // median latency in microseconds
	p99    float64 // 99th percentile of the latency in microseconds
	cpu    float64 // CPU time of the gateway per request, in microseconds
	failed int     // number of failed requests
}

// newLoadClient connects to an address, and creates and fills files whose names start with prefix.
func newLoadClient(addr, prefix string) (*loadClient, error) {
	client, err := dial(addr)
	if err != nil {
		return nil, err
	}
	l := &loadClient{client: client}
	for i := range fileCount {
		if err := l.createFile(prefix + strconv.Itoa(i)); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *loadClient) createFile(name string) error {
	response := make(chan sftp.Frame, 1)
	frame, err := l.client.request(sftp.Open, response, func(packet *sftp.Packet) {
		packet.Text(name).Uint32(sftp.FlagRead | sftp.FlagWrite | sftp.FlagCreate).Attrs(sftp.Attrs{})
	})
	if err != nil {
		return err
	}
	_, reader := frame.ID()
	handle := reader.Text()
	l.handles = append(l.handles, handle)
	for offset := 0; offset < fileBytes; offset += writeBytes {
		_, err := l.client.request(sftp.Write, response, func(packet *sftp.Packet) {
			packet.Text(handle).Uint64(uint64(offset)).Tail(make([]byte, writeBytes))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measure keeps the case's number of requests outstanding for the duration each. pid is the process whose CPU time is
// measured; 0: none.
func (l *loadClient) measure(testCase testCase, each time.Duration, pid int) loadResult {
	var running sync.WaitGroup
	var lock sync.Mutex // guards latencies and failed
	latencies := newHistogram()
	failed := 0
	data := make([]byte, testCase.bytes)
	startedAt, cpuBefore := time.Now(), processorTime(pid)
	for worker := range testCase.outstanding {
		running.Go(func() {
			own, ownFailed := l.sendRequests(testCase, worker, data, startedAt.Add(each))
			lock.Lock()
			defer lock.Unlock()
			latencies.Merge(own)
			failed += ownFailed
		})
	}
	running.Wait()
	elapsed := time.Since(startedAt)
	count := float64(latencies.TotalCount())
	result := loadResult{
		rate:   count / elapsed.Seconds(),
		p50:    float64(latencies.ValueAtQuantile(50)),
		p99:    float64(latencies.ValueAtQuantile(99)),
		failed: failed,
	}
	if pid > 0 && count > 0 {
		result.cpu = (processorTime(pid) - cpuBefore).Seconds() * 1e6 / count
	}
	return result
}

// sendRequests sends one request after another until the given time. data is the content of writes. It returns the
// latencies of the successful requests, in microseconds, and the number of failed ones.
func (l *loadClient) sendRequests(testCase testCase, worker int, data []byte, until time.Time) (
	latencies *hdrhistogram.Histogram, failed int) {
	latencies = newHistogram()
	response := make(chan sftp.Frame, 1)
	for number := worker; time.Now().Before(until); number += testCase.outstanding {
		handle := l.handles[number%fileCount]
		offset := uint64(number/fileCount*testCase.bytes) % fileBytes
		startedAt := time.Now()
		_, err := l.client.request(testCase.operation, response, func(packet *sftp.Packet) {
			packet.Text(handle).Uint64(offset)
			if testCase.operation == sftp.Read {
				packet.Uint32(uint32(testCase.bytes))
			} else {
				packet.Tail(data)
			}
		})
		if err != nil {
			failed++
			continue
		}
		_ = latencies.RecordValue(max(1, time.Since(startedAt).Microseconds())) // over a minute is not counted
	}
	return latencies, failed
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maximumMicros, significantDigits)
}

// processorTime returns the CPU time that a process has used, or 0 if it cannot be read.
func processorTime(pid int) time.Duration {
	used, err := meter.ProcessUsage(pid)
	if err != nil {
		return 0
	}
	return used.CPU
}
