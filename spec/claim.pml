// Claim and dispatch of one non-idempotent request whose copies arrive at two entry VMs.
//
// The store applies conditional updates. A write may be applied at any time after it was
// sent, or never, and its answer may be lost. A VM may crash at any step. The target may run
// or refuse a dispatch, at any time after it was sent, and its answer may be lost; it does
// not recognise repeated attempts.
//
// Properties: the request runs at most once; a VM that answered "not run" is right.
//
// Each of these variants is wrong:
//   LOST_DISPATCH_RERUN  a lost answer of the target is taken for "did not run"
//   LOST_CLAIM_WINS      a lost answer to the claim is taken for success
//   UNCONDITIONAL        the store does not compare versions
//   TAKEOVER             a copy takes over the claim of a holder that seems dead
//   RELEASE_UNKNOWN      a claim is released although the dispatch has an unknown outcome
//   CLAIM_AFTER_DISPATCH the request is dispatched while the claim is on its way
// broken: LOST_DISPATCH_RERUN
// broken: LOST_CLAIM_WINS
// broken: UNCONDITIONAL
// broken: TAKEOVER
// broken: RELEASE_UNKNOWN
// broken: CLAIM_AFTER_DISPATCH

#define VMS 2
#define WRITES 2     /* writes of one VM */
#define DISPATCHES 2 /* dispatches of one VM */
#define NOBODY 255

mtype = { none, sent, applied, conflict, ran, refused };

/* The shard: its version and the one claim. */
byte version;
byte holder = NOBODY;

/* A write in flight: its expected version and whom it names as holder. */
typedef Write {
  mtype phase = none;
  byte expected;
  byte names;
  mtype answer = none
}
Write writes[VMS * WRITES];

typedef Dispatch {
  mtype phase = none;
  mtype answer = none
}
Dispatch dispatches[VMS * DISPATCHES];

byte runs;
bool ranFor[VMS];
bool toldNotRun[VMS];

/* Applies one write that was sent; its answer is lost or not. */
inline apply(w) {
  atomic {
    writes[w].phase == sent ->
    writes[w].phase = applied;
    if
#ifdef UNCONDITIONAL
    :: true ->
#else
    :: writes[w].expected == version ->
#endif
      version++;
      holder = writes[w].names;
      if
      :: writes[w].answer = applied
      :: skip
      fi
#ifndef UNCONDITIONAL
    :: else ->
      if
      :: writes[w].answer = conflict
      :: skip
      fi
#endif
    fi
  }
}

active proctype Store() {
end:
  do
  :: apply(0)
  :: apply(1)
  :: apply(2)
  :: apply(3)
  od
}

/* Runs or refuses one dispatch; its answer is lost or not. */
inline serve(d) {
  atomic {
    dispatches[d].phase == sent ->
    if
    :: dispatches[d].phase = ran;
       runs++;
       ranFor[d / DISPATCHES] = true;
       assert(runs <= 1);
       assert(!toldNotRun[d / DISPATCHES])
    :: dispatches[d].phase = refused
    fi;
    if
    :: dispatches[d].answer = dispatches[d].phase
    :: skip
    fi
  }
}

active proctype Target() {
end:
  do
  :: serve(0)
  :: serve(1)
  :: serve(2)
  :: serve(3)
  od
}

inline send(names_) {
  writes[id * WRITES + w].expected = seen;
  writes[id * WRITES + w].names = names_;
  writes[id * WRITES + w].phase = sent;
  w++
}

#define LAST writes[id * WRITES + w - 1]
#define CURRENT dispatches[id * DISPATCHES + d - 1]

proctype VM(byte id) {
  byte seen, w, d;

read:
  atomic {
    seen = version;
    if
    :: holder == NOBODY || holder == id
#ifdef TAKEOVER
    :: holder != NOBODY && holder != id
#else
    :: holder != NOBODY && holder != id -> goto duplicate
#endif
    fi
  }
claim:
  atomic {
    if
    :: w < WRITES -> send(id)
    :: else -> goto giveUp
    fi
  }
#ifdef CLAIM_AFTER_DISPATCH
  goto dispatch;
#endif
  if
  :: atomic { LAST.answer == applied -> goto dispatch }
  :: atomic { LAST.answer == conflict -> goto read }
  :: goto settle /* the call timed out */
  :: goto crashed
  fi;
settle:
#ifdef LOST_CLAIM_WINS
  goto dispatch;
#endif
  atomic {
    if
    :: holder == id -> goto dispatch
    :: holder != id && version == seen -> goto claim /* sends the same write again */
    :: holder != id && version != seen -> goto read
    :: goto giveUp /* the platform is away */
    fi
  }
dispatch:
  if
  :: goto crashed
  :: atomic {
       d < DISPATCHES ->
       d++;
       CURRENT.phase = sent
     }
  :: d == DISPATCHES -> goto release
  fi;
  if
  :: atomic { CURRENT.answer == ran -> goto answered }
  :: atomic {
       CURRENT.answer == refused ->
       if
       :: goto dispatch /* another target */
       :: goto release
       fi
     }
  :: goto unknown /* the link broke or stalled */
  :: goto crashed
  fi;
unknown:
#ifdef LOST_DISPATCH_RERUN
  goto dispatch;
#endif
#ifdef RELEASE_UNKNOWN
  goto release;
#endif
  goto answered; /* the caller is told that the outcome is unknown */
release: /* every dispatch was refused: the request did not run */
  atomic {
    seen = version;
    if
    :: w < WRITES && holder == id -> send(NOBODY)
    :: else -> skip
    fi
  }
giveUp: /* nothing was dispatched that may have run */
#ifndef RELEASE_UNKNOWN
  atomic {
    assert(!ranFor[id]);
    toldNotRun[id] = true
  };
#endif
  skip;
answered:
duplicate:
crashed:
  skip
}

init {
  atomic {
    run VM(0);
    run VM(1)
  }
}
