package neighbour

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// encode returns report as DEFLATE-compressed JSON.
func encode(report Report) ([]byte, error) {
	data, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
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
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	err := json.NewDecoder(io.LimitReader(r, maxReportBytes)).Decode(&report)
	return report, err
}
