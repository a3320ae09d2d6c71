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
	// fileCount is how many files a case is spread over, so that it does not measure the order of one extent's
	// writes.
	fileCount = 64

	fileBytes  = 256 << 10
	writeBytes = 32 << 10 // of a request when files are filled

	maximumMicros     = 60_000_000
	significantDigits = 3
)

// load is a client with open files at a gateway, or at the node directly.
type load struct {
	client  *client
	handles []string
}

// loadResult is the result of one measurement.
type loadResult struct {
	rate   float64 // requests a second
	p50    float64 // microseconds
	p99    float64 // microseconds
	cpu    float64 // processor time of the gateway for a request, microseconds
	failed int     // requests
}

// openLoad connects to an address, and creates and fills the files, whose names begin with a prefix.
func openLoad(addr, prefix string) (*load, error) {
	client, err := dial(addr)
	if err != nil {
		return nil, err
	}
	l := &load{client: client}
	for i := range fileCount {
		if err := l.createFile(prefix + strconv.Itoa(i)); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *load) createFile(name string) error {
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

// measure keeps a case's number of requests outstanding for a time. pid is the gateway's process; 0: none.
func (l *load) measure(testCase testCase, each time.Duration, pid int) loadResult {
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
	took := time.Since(startedAt)
	count := float64(latencies.TotalCount())
	result := loadResult{
		rate:   count / took.Seconds(),
		p50:    float64(latencies.ValueAtQuantile(50)),
		p99:    float64(latencies.ValueAtQuantile(99)),
		failed: failed,
	}
	if pid > 0 && count > 0 {
		result.cpu = (processorTime(pid) - cpuBefore).Seconds() * 1e6 / count
	}
	return result
}

// sendRequests sends one request after another until a time; data is the content of writes. It returns the latencies
// of those that were answered, in microseconds, and the number of those that failed.
func (l *load) sendRequests(testCase testCase, worker int, data []byte, until time.Time) (
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
		_ = latencies.RecordValue(max(1, time.Since(startedAt).Microseconds())) // one over a minute is not counted
	}
	return latencies, failed
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maximumMicros, significantDigits)
}

// processorTime returns the processor time that a process has used; 0 if the system does not know it.
func processorTime(pid int) time.Duration {
	used, err := meter.ProcessUsage(pid)
	if err != nil {
		return 0
	}
	return used.CPU
}
