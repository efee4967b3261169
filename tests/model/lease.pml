/*
 * The lease protocol of src/coordination/lease_manager.h, with bounded time, pauses and lost
 * answers, and one engine that checks fencing tokens.
 *
 * Time is one counter; both nodes' clocks run at its rate and are never read by the other. A node
 * is paused by not being scheduled: the model checker does that at every point, so nothing below
 * relies on a node acting in time.
 *
 * Checked:
 *   - tokens in the table grow with each change of holder;
 *   - at most one node holds the lease by its own clock at any moment;
 *   - the engine never obeys an order whose token is below one that it has obeyed;
 *   - the table takes no write of a former holder.
 * A node that checks its clock and is paused before it acts does act late: that is what the engine's
 * and the table's checks are for. With FIND_STALE_USE an error shows that such an act is reached.
 */
#ifndef DURATION
#define DURATION 3
#endif
#ifndef MARGIN
#define MARGIN 1
#endif
/* Time at which the run ends: enough for a takeover and a takeover back. */
#ifndef HORIZON
#define HORIZON 7
#endif
/* Uses of the lease by one node: bounds the state space. */
#ifndef USES
#define USES 1
#endif
/* How long a candidate waits for a row that does not change. */
#ifdef SHORT_WAIT
#define WAIT (DURATION - MARGIN - 1)
#else
#define WAIT (DURATION + MARGIN)
#endif
#define NODES 2
#define NOBODY 255

byte now = 0;

/* The lease row and the tenure row. Revisions are counters. */
byte rowHolder = NOBODY;
byte rowToken = 0;
byte rowRevision = 0;
byte tenureRevision = 0;

/* The engine. */
byte engineToken = 0;

/* Until when each node believes that it holds the lease; 0: it does not. */
byte validUntil[NODES];

/* An order was fenced off, or a write refused. */
bool staleUse = false;

#define holds(node) (validUntil[node] > now)

proctype Clock() {
  do
  :: now < HORIZON -> now++
  :: now >= HORIZON -> break
  od
}

proctype Node(byte self) {
  byte knownRevision = 0;
  byte firstSeen = 0;
  bool known = false;
  bool free = false;
  /* Time before the write whose answer was lost was sent, plus one; 0: none. */
  byte lostAt = 0;
  byte sentAt = 0;
  byte token = 0;
  byte tenure = 0;
  byte uses = 0;
  byte orderToken = 0;
  bool wrote = false;

  do
  :: now >= HORIZON -> break

  /* Read the row. A write of this node whose answer was lost is recognised by its nonce. */
  :: validUntil[self] == 0 && (!known || knownRevision != rowRevision) ->
       atomic {
         known = true;
         firstSeen = now;
         knownRevision = rowRevision;
         free = (rowHolder == NOBODY);
         if
         :: lostAt > 0 && rowHolder == self && lostAt - 1 + DURATION - MARGIN > now ->
              token = rowToken;
              tenure = tenureRevision;
              validUntil[self] = lostAt - 1 + DURATION - MARGIN
         :: else -> skip
         fi;
         lostAt = 0
       }

  /* Take over: compare-and-set on the revision known, after the wait. */
  :: validUntil[self] == 0 && known && (free || now >= firstSeen + WAIT) ->
       sentAt = now;
       atomic {
         if
         :: rowRevision == knownRevision ->
              /* Nobody may still hold it by its own clock. */
              assert(!holds(1 - self));
              rowHolder = self;
              rowToken++;
              rowRevision++;
              tenureRevision = rowRevision;
              wrote = true
         :: else -> wrote = false
         fi
       };
       atomic {
         known = false;
         free = false;
         if
         /* The answer arrives, perhaps too late to be of use. */
         :: wrote && rowHolder == self && sentAt + DURATION - MARGIN > now ->
              token = rowToken;
              tenure = tenureRevision;
              knownRevision = rowRevision;
              known = true;
              validUntil[self] = sentAt + DURATION - MARGIN
         /* The answer is lost: the node reads before it does anything else. */
         :: wrote -> lostAt = sentAt + 1
         :: !wrote -> skip
         fi;
         sentAt = 0;
         wrote = false
       }

  /* Renew, once in each unit of time at most. */
  :: holds(self) && now + DURATION - MARGIN > validUntil[self] ->
       sentAt = now;
       atomic {
         if
         :: rowHolder == self && rowRevision == knownRevision ->
              rowRevision++;
              knownRevision = rowRevision;
              wrote = true
         :: else -> wrote = false
         fi
       };
       atomic {
         if
         :: wrote -> validUntil[self] = sentAt + DURATION - MARGIN
         :: !wrote ->
              validUntil[self] = 0;
              known = false
         fi;
         sentAt = 0;
         wrote = false
       }

  /* Use the lease: check the clock, then act, possibly much later. */
  :: uses < USES && holds(self) ->
       atomic {
         uses++;
         orderToken = token
       };
       if
       /* An order to the engine. */
       :: atomic {
            if
#ifdef BREAK_FENCING
            :: true ->
#else
            :: orderToken < engineToken -> staleUse = true
            :: orderToken >= engineToken ->
#endif
                 assert(orderToken >= engineToken);
                 engineToken = orderToken
            fi
          }
       /* A write under the lease: the tenure row's revision is its condition. */
       :: atomic {
            if
#ifdef BREAK_TENURE
            :: true ->
#else
            :: tenure != tenureRevision -> staleUse = true
            :: tenure == tenureRevision ->
#endif
                 assert(orderToken == rowToken)
            fi
          }
       fi;
       orderToken = 0

  /* The lease ran out: start over by reading. */
  :: validUntil[self] != 0 && !holds(self) ->
       atomic {
         validUntil[self] = 0;
         known = false
       }

  /* Planned stop of the holder: it stops using the lease, then gives it up. */
  :: holds(self) && now > HORIZON / 2 ->
       validUntil[self] = 0;
       atomic {
         if
         :: rowHolder == self && rowRevision == knownRevision ->
              rowHolder = NOBODY;
              rowRevision++
         :: else -> skip
         fi
       };
       break
  od
}

/* In the run that looks for it: a stale use must be found to occur. */
#ifdef FIND_STALE_USE
active proctype Watch() {
end:
  staleUse -> assert(!staleUse)
}
#endif

init {
  atomic {
    run Clock();
    run Node(0);
    run Node(1)
  }
}
