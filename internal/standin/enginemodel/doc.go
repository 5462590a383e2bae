// Package enginemodel models an LLM engine with continuous batching on virtual time.
//
// An Engine is driven by its caller: Submit adds work, Advance moves its time forward and returns the events up to
// then, and Next returns the time of the next event. It reads no clock, starts no goroutine and is not safe for
// concurrent use. Equal calls give equal events.
//
// Assumptions of the model:
//
//   - Prefill runs one prompt at a time at PrefillRate, the most urgent one first. A more urgent
//     prompt preempts a running one at once, and the preempted one keeps its progress, as with
//     chunked prefill of small chunks.
//   - Decode streams share DecodeRate evenly and none exceeds StreamRate. At most Slots streams
//     run; the others wait, the most urgent one first. A running stream is not evicted.
//   - The first output token appears at the end of prefill.
//   - A mixed engine that runs prefill and decode at once gives PrefillShare of its time to prefill
//     and loses MixedSlowdown of its speed to their interference. It runs a prompt only while a slot is
//     free.
//   - A prefill engine does not decode: the event PrefillDone carries the work to submit to a decode
//     engine. The caller adds the time of the transfer of the KV cache.
//   - Prompt prefixes are cached by their hash in an LRU of CacheTokens tokens, and a hit saves the
//     whole prefix. KV memory of running streams is not modelled beyond Slots.
//   - A role change waits until the work in flight has ended, or until Export has removed it. Then
//     the engine is unavailable for RoleChangeTime and its cache is emptied.
//   - Load reports are taken once per ReportInterval and are visible after ReportLag. Cache events are
//     visible after CacheEventLag, and a share of CacheEventLoss is lost, which leaves gaps in their numbers.
package enginemodel
