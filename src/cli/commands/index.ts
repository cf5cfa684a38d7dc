import type { Command } from '../types.ts';
import { audit } from './audit.ts';
import { checkSettings } from './checkSettings.ts';
import { config } from './config.ts';
import { configuration } from './configuration.ts';
import { confirm } from './confirm.ts';
import { drafts } from './drafts.ts';
import { engines } from './engines.ts';
import { entry } from './entry.ts';
import { gateway } from './gateway.ts';
import { hosts } from './hosts.ts';
import { plan } from './plan.ts';
import { quickstart } from './quickstart.ts';
import { suspects } from './suspects.ts';

/** All commands by name, in the order in which `--help` lists them. */
export const COMMANDS = new Map<string, Command>(
  Object.entries({
    entry,
    gateway,
    quickstart,
    plan,
    confirm,
    configuration,
    config,
    audit,
    hosts,
    engines,
    drafts,
    suspects,
    'check-settings': checkSettings,
  }),
);
