// Cursor, resume and relay of one streamed generation.
//
// Two engines can each run an attempt of the request; their tokens differ. A relay on an
// entry VM passes the tokens of one attempt to the caller. Links to engines break and, on
// resume, may repeat tokens that were sent before or deliver ahead of a gap. The entry VM
// may die, and so may an engine. The caller then reconnects through another VM with the
// cursor of the last event that it received.
//
// Property: the caller receives every token once, in order, from one attempt; an answer
// that ends is whole.
//
// Each of these variants is wrong:
//   SPLICE           another attempt replaces one of which a token was delivered
//   NO_DEDUPE        the relay passes repeated tokens on
//   NO_HOLD          the relay passes tokens on that are ahead of a gap
//   CURSOR_OF_SENT   a reconnect continues after what was sent, not after what was received
//   NO_ATTEMPT       a resume does not name the attempt, so that any engine answers it
// broken: SPLICE
// broken: NO_DEDUPE
// broken: NO_HOLD
// broken: CURSOR_OF_SENT
// broken: NO_ATTEMPT

#define TOKENS 3
#define BREAKS 2 /* broken links and deaths in one run */
#define NONE 0

/* The attempt that the caller's first token bound, and the next index it needs. */
byte callerAttempt = NONE;
byte callerNext;
bool callerDone;

/* The connection from the entry VM to the caller: attempt and index; TOKENS is the end. */
chan connection = [2] of { byte, byte };

/* The relay's state; it is lost when its VM dies. */
byte attempt = NONE;
byte next;
bool bound;
bool lost;

bool engineDead[3];
byte engineAt; /* the next index that the engine sends on the present link */
byte breaks;

active proctype Caller() {
  byte a, i;
  do
  :: callerDone -> break
  :: atomic {
       connection?a, i ->
       assert(callerAttempt == NONE || callerAttempt == a);
       assert(i == callerNext);
       callerAttempt = a;
       if
       :: i == TOKENS -> callerDone = true
       :: else -> callerNext++
       fi
     }
  :: lost && empty(connection) -> break /* a typed error ended the answer */
  od
}

active proctype Relay() {
  byte i;
  do
  :: callerDone || lost -> break
  /* Starts an attempt on a living engine while none is bound. */
  :: atomic {
       attempt == NONE && !callerDone && !lost ->
       if
       :: !engineDead[1] -> attempt = 1
       :: !engineDead[2] -> attempt = 2
       :: engineDead[1] && engineDead[2] -> lost = true
       fi;
       engineAt = next
     }
  /* One event of the engine's stream arrives, perhaps again or ahead of a gap. */
  :: atomic {
       attempt != NONE && !engineDead[attempt] && nfull(connection) && engineAt <= TOKENS ->
       i = engineAt;
       if
       :: engineAt++
       :: breaks < BREAKS && engineAt < TOKENS -> breaks++; engineAt = engineAt + 2; i++ /* a gap */
       fi;
       if
       :: i == next ->
          connection!attempt, i;
          bound = true;
          next++
       :: i < next ->
#ifdef NO_DEDUPE
          connection!attempt, i
#else
          skip
#endif
       :: i > next ->
#ifdef NO_HOLD
          connection!attempt, i;
          next = i + 1
#else
          engineAt = next /* resumes at the engine */
#endif
       fi
     }
  /* The link breaks; the engine resumes at or before the index asked for. */
  :: atomic {
       attempt != NONE && !engineDead[attempt] && breaks < BREAKS ->
       breaks++;
#ifdef NO_ATTEMPT
       if
       :: skip
       :: !engineDead[3 - attempt] -> attempt = 3 - attempt
       fi;
#endif
       if
       :: engineAt = next
       :: next > 0 -> engineAt = next - 1
       :: engineAt = 0
       fi
     }
  /* The engine dies: before the first token another attempt may start. */
  :: atomic {
       attempt != NONE && !engineDead[attempt] && breaks < BREAKS ->
       breaks++;
       engineDead[attempt] = true;
#ifdef SPLICE
       attempt = NONE
#else
       if
       :: bound -> lost = true
       :: else -> attempt = NONE
       fi
#endif
     }
  /* The entry VM dies: what is on the connection may get lost, and the caller reconnects. */
  :: atomic {
       !callerDone && breaks < BREAKS ->
       breaks++;
       do
       :: nempty(connection) -> connection?_, _
       :: empty(connection) -> break
       od;
#ifndef CURSOR_OF_SENT
       next = callerNext;
#endif
       attempt = callerAttempt;
       bound = callerAttempt != NONE;
       engineAt = next;
       if
       :: bound && engineDead[attempt] -> lost = true
       :: else -> skip
       fi
     }
  od
}

active proctype Monitor() {
  atomic {
    callerDone ->
    assert(callerNext == TOKENS)
  }
}
