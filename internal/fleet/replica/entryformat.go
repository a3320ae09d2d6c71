package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"irispost/internal/fleet/lease"
)

// Log entries have two formats. A replica writes the second one, in which contents are deltas and versions can be
// forgotten, once it knows that every voter reads it. From the first such entry on, older programs cannot read the log
// in any case, so the voters are no longer checked. Each replica states the newest format that it reads in its
// announcement and in a header of each HTTP response.

// Formats of log entries.
const (
	formatFullContents = 1
	formatWithDeltas   = 2
)

// entryFormatHeader is the response header that states the newest entry format that a replica reads.
const entryFormatHeader = "Irispost-Form"

// announceEntryFormat adds the entry format to the headers of all responses.
func (r *Replica) announceEntryFormat(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.options.entryFormat > formatFullContents {
			w.Header().Set(entryFormatHeader, strconv.Itoa(r.options.entryFormat))
		}
		next.ServeHTTP(w, req)
	})
}

// updateEntryFormat updates the peer's entry format from the header of one of its responses.
func (p *peer) updateEntryFormat(ctx context.Context, response *http.Response) {
	format, err := strconv.ParseInt(response.Header.Get(entryFormatHeader), 10, 32)
	if err != nil {
		format = formatFullContents // the peer's program does not know the header
	}
	if p.entryFormat.Swap(format) != format {
		p.replica.enqueue(ctx, func() { p.replica.recordEntryFormat(p.id, int(format)) })
	}
}

// recordEntryFormat records the newest entry format that a peer reads.
func (r *Replica) recordEntryFormat(id uint64, format int) {
	if r.membership.entryFormats[id] == format {
		return
	}
	r.membership.entryFormats[id] = format
	r.logger.Info("peer reads entry format", "peer", id, "format", max(format, formatFullContents))
}

// entryFormat returns the format in which new entries are written.
func (r *Replica) entryFormat() int {
	if r.machine.Format >= formatWithDeltas {
		return r.machine.Format
	}
	configuration := r.membership.configuration
	for _, id := range slices.Concat(configuration.GetVoters(), configuration.GetVotersOutgoing()) {
		if id != r.options.ID && r.membership.entryFormats[id] < formatWithDeltas {
			return formatFullContents
		}
	}
	return r.options.entryFormat
}

// errNotJSON reports an entry that is not in the first format, whose entries are JSON.
var errNotJSON = errors.New("it is not JSON")

// decodeEntry decodes the command of a log entry.
func (r *Replica) decodeEntry(index uint64, data []byte) (*lease.Command, error) {
	var command *lease.Command
	var err error
	if r.options.entryFormat < formatWithDeltas && data[0] != '{' {
		err = errNotJSON
	} else {
		command, err = lease.DecodeEntry(data)
	}
	if err != nil {
		const text = "log entry %d cannot be read, a newer program may have written it: %w"
		return nil, fmt.Errorf(text, index, err)
	}
	return command, nil
}
