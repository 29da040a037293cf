namespace cpp parsleyring.wire

struct LoadEntry {
  1: string endpoint,
  2: string incarnation,
  3: i64 reportedAtMicros,
  4: i32 running,
  5: i32 waiting,
  6: bool draining,
}

struct LeavingEntry {
  1: string endpoint,
  2: string incarnation,
}

struct PeerEntry {
  1: string vm,
  2: i64 incarnation,
  3: string address,
  4: string failureDomain,
  5: i32 ageMillis,
}

struct Digest {
  1: string vm,
  2: i64 incarnation,
  3: string failureDomain,
  4: string address,
  5: i64 configurationVersion,
  6: map<string, i32> outstanding,
  7: list<LeavingEntry> leaving,
  8: list<LoadEntry> load,
  9: list<PeerEntry> peers,
  10: bool draining,
}

struct TakenReservation {
  1: i32 stateBefore,
  2: bool otherBody,
  3: string holder,
}

struct Head {
  1: i64 version,
  2: string json,
}

enum AnswerState {
  ABSENT = 0,
  IN_PROGRESS = 1,
  ENDED = 2,
}

struct KeptAnswer {
  1: AnswerState state,
  2: string outcome,
  3: i32 status,
  4: string contentType,
  5: binary body,
  6: i32 tokens,
  7: string accountKeySha256,
}

service Peer {
  // Not oneway: the reply tells the sender that the connection still works.
  void heartbeat(1: Digest digest),
  Head fetchHead(),
  binary fetchChunk(1: string sha256),
  KeptAnswer requestState(1: i64 incarnation, 2: i64 number, 3: i32 fromPosition),
  KeptAnswer keyState(1: i64 incarnation, 2: string account, 3: string key),
  TakenReservation takeReservation(1: i64 incarnation, 2: string account,
                                   3: string key, 4: string bodySha256,
                                   5: string holder),
  void endReservation(1: i64 incarnation, 2: string key, 3: bool completed),
}
