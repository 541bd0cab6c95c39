package neighbour

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"
)

// compressors and decompressors are reused, since each needs buffers many times the
// size of a report.
var (
	compressors = sync.Pool{New: func() any {
		// The level is valid, so there is no error.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// encode returns report as DEFLATE-compressed JSON.
func encode(report Report) ([]byte, error) {
	data, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

// maxReportBytes bounds the decompressed size of a received report.
const maxReportBytes = 1 << 20

// decode parses the output of encode.
func decode(data []byte) (Report, error) {
	var report Report
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return report, err
	}
	err := json.NewDecoder(io.LimitReader(r, maxReportBytes)).Decode(&report)
	return report, err
}
