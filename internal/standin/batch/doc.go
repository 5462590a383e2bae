// Package batch models one continuous-batching engine on virtual time.
//
// An Engine is driven by its caller: Submit hands it work, Advance moves its time forward and
// returns what happened, Next says when something will happen. It reads no clock, starts no
// goroutine and is not safe for concurrent use. Equal calls give equal events.
//
// Assumptions of the model:
//
//   - Prefill runs one prompt at a time at PrefillRate, urgent prompts first. A more urgent prompt
//     overtakes a running one at once and the overtaken one keeps its progress, as with chunked
//     prefill of small chunks.
//   - Decode streams share DecodeRate evenly and none exceeds StreamRate. At most Slots streams
//     run; the others wait, urgent first. A running stream is not evicted.
//   - The first output token appears at the end of prefill.
//   - A mixed engine that runs both parts gives PrefillShare of its time to prefill and loses
//     MixedLoss of its speed to their interference. It starts a prompt only with a free slot.
//   - A prefill engine hands the KV cache over: PrefillDone carries the work to submit to a decode
//     engine. The time of the transfer is the caller's to add.
//   - Prompt prefixes are cached by their hash in an LRU of CacheTokens tokens, and a hit saves the
//     whole prefix. KV memory of running streams is not modelled beyond Slots.
//   - A role change lets work in flight end, unless Export moves it away, then takes the engine
//     away for ChangeTime and empties its cache.
//   - Load reports are taken each ReportEvery and seen ReportLag later. Cache events are seen
//     CacheLag later and a share of CacheGap is lost, which leaves a hole in their numbers.
package batch
