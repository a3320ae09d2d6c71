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

// Entries of the log have two formats. A replica writes the second, in which contents are deltas and versions can
// be forgotten, once it knows of every voter that it reads it; from the first such entry on an older program cannot
// read the log in any case, so that no more is asked. Each replica states the newest format that it reads in its
// announcement and in the header of each answer to another replica.

// Formats of log entries.
const (
	formatFullContents = 1
	formatWithDeltas   = 2
)

// entryFormatHeader states in an answer the newest entry format that a replica reads.
const entryFormatHeader = "Irispost-Form"

// announceEntryFormat adds the entry format to all answers.
func (r *Replica) announceEntryFormat(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.options.entryFormat > formatFullContents {
			w.Header().Set(entryFormatHeader, strconv.Itoa(r.options.entryFormat))
		}
		next.ServeHTTP(w, req)
	})
}

// takeEntryFormat takes the entry format from a peer's answer.
func (p *peer) takeEntryFormat(ctx context.Context, response *http.Response) {
	format, err := strconv.ParseInt(response.Header.Get(entryFormatHeader), 10, 32)
	if err != nil {
		format = formatFullContents // a replica that does not know the header
	}
	if p.entryFormat.Swap(format) != format {
		p.replica.do(ctx, func() { p.replica.noteEntryFormat(p.id, int(format)) })
	}
}

// noteEntryFormat records which format a peer reads.
func (r *Replica) noteEntryFormat(id uint64, format int) {
	if r.membership.entryFormats[id] == format {
		return
	}
	r.membership.entryFormats[id] = format
	r.logger.Info("peer reads entry format", "peer", id, "format", max(format, formatFullContents))
}

// entryFormat is the format in which entries are written now.
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

// errNotJSON reports an entry that a program which knows only the first format cannot read.
var errNotJSON = errors.New("it is no JSON")

// decodeEntry reads a command from an entry of the log.
func (r *Replica) decodeEntry(index uint64, data []byte) (*lease.Command, error) {
	var command *lease.Command
	var err error
	if r.options.entryFormat < formatWithDeltas && data[0] != '{' {
		err = errNotJSON
	} else {
		command, err = lease.DecodeEntry(data)
	}
	if err != nil {
		const text = "entry %d of the log cannot be read, a newer program may have written it: %w"
		return nil, fmt.Errorf(text, index, err)
	}
	return command, nil
}
