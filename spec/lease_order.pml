// Leases, fencing numbers and orders to one target.
//
// Two VMs take the lease of a service in turn. A holder may be paused at any step, since
// time passes whenever no other step is forced. An order travels for any time. The target
// either refuses old fencing numbers or ignores the number; either kind refuses an order
// past its deadline. The target's clock may be behind by SKEW.
//
// Property: once an order of a newer holder has taken effect, no order of an older one does.
//
// Each of these variants is wrong:
//   TAKE_EARLY        a lease is taken over before its term is over
//   NO_WAIT           a new holder does not wait out the orders of the earlier one, which a
//                     target whose clock is behind still starts
//   NO_DEADLINE       targets that ignore the number do not check the deadline either
//   LONG_DEADLINE     an order's deadline may lie after the end of its lease
//   SAME_NUMBER       taking the lease over does not raise the fencing number
//   VALID_FROM_ANSWER validity is counted from the answer instead of before the call
// broken: TAKE_EARLY
// broken: NO_WAIT
// broken: NO_DEADLINE
// broken: LONG_DEADLINE
// broken: SAME_NUMBER
// broken: VALID_FROM_ANSWER

#define TERM 2 /* how long a lease is valid */
#define SKEW 1
#define END 6 /* the model's last moment */

byte now;

/* The lease object: fencing number, holder and the time of its last write. */
byte fencing;
byte leaseHolder;
byte leaseSince;
bool taken;

bool checksFencing;
byte behind; /* how far the target's clock is behind */
byte highest; /* the highest fencing number whose order took effect */

/* Counts the holders; not known to them or to the target. */
byte holders;
byte newestEffect;

typedef Order {
  bool sent;
  byte number;
  byte holderCount;
  byte deadline
}
Order orders[4];

active proctype Clock() {
end:
  do
  :: now < END -> now++
  od
}

inline deliver(o) {
  atomic {
    orders[o].sent ->
    orders[o].sent = false;
    if
    :: checksFencing && orders[o].number < highest -> skip /* refused */
#ifdef NO_DEADLINE
    :: !(checksFencing && orders[o].number < highest) ->
#else
    :: !(checksFencing && orders[o].number < highest) && now - behind >= orders[o].deadline -> skip
    :: !(checksFencing && orders[o].number < highest) && now - behind < orders[o].deadline ->
#endif
      assert(orders[o].holderCount >= newestEffect);
      newestEffect = orders[o].holderCount;
      highest = orders[o].number
    fi
  }
}

proctype Target() {
end:
  do
  :: deliver(0)
  :: deliver(1)
  :: deliver(2)
  :: deliver(3)
  od
}

inline order(o, until) {
  atomic {
    orders[o].number = number;
    orders[o].holderCount = count;
    orders[o].deadline = until;
    orders[o].sent = true
  }
}

#define FREE (!taken || (leaseHolder != id && now >= leaseSince + TERM))

proctype Holder(byte id) {
  byte calledAt, validUntil, number, startAt, count;
  bool first;

  /* The call is sent once the same version was seen for a whole term. */
  atomic {
#ifdef TAKE_EARLY
    true ->
#else
    FREE ->
#endif
    calledAt = now
  };
  /* It takes effect later, if the version is still the same. */
  atomic {
    if
#ifdef TAKE_EARLY
    :: true ->
#else
    :: FREE ->
#endif
       first = !taken;
       taken = true;
       leaseHolder = id;
       leaseSince = now;
       holders++;
       count = holders;
#ifdef SAME_NUMBER
       fencing = 1;
#else
       fencing++;
#endif
       number = fencing
#ifndef TAKE_EARLY
    :: !FREE -> goto done
#endif
    fi
  };
  /* The answer arrives later still. */
  atomic {
#ifdef VALID_FROM_ANSWER
    calledAt = now;
#endif
    validUntil = calledAt + TERM;
    startAt = calledAt;
#ifndef NO_WAIT
    if
    :: !first && !checksFencing -> startAt = calledAt + SKEW
    :: else -> skip
    fi
#endif
  };
  now >= startAt;
  /* Each order follows a check of the lease, and the holder may be paused in between. */
  if
  :: atomic { now < validUntil }
  :: atomic { now >= validUntil -> goto done }
  fi;
#ifdef LONG_DEADLINE
  order(id * 2, now + TERM);
#else
  order(id * 2, validUntil);
#endif
  if
  :: atomic { now < validUntil }
  :: atomic { now >= validUntil -> goto done }
  fi;
  order(id * 2 + 1, validUntil);
done:
  skip
}

init {
  atomic {
    if
    :: checksFencing = true
    :: checksFencing = false
    fi;
    if
    :: behind = 0
    :: behind = SKEW
    fi;
    run Target();
    run Holder(0);
    run Holder(1)
  }
}
