import { z } from 'zod';
import { GATEWAY_SETTING_GROUPS } from './gatewayGroups.ts';
import { ENTRY_SETTING_GROUPS, OperatorSettings } from './entryGroups.ts';
import { type SettingDescription, settingDescriptions } from './types.ts';

/** One setting: where its value goes, its schema and its description. */
export interface SettingDefinition extends SettingDescription {
  group: string;
  key: string;
  schema: z.ZodType<unknown, string | undefined>;
}

/** The settings of `entry`, in the order of their groups. */
export const ENTRY_SETTINGS: readonly SettingDefinition[] = Object.entries(
  ENTRY_SETTING_GROUPS,
).flatMap(([group, schema]) => getDefinitions(group, schema));

/** The settings of `gateway`, in the order of their groups. */
export const GATEWAY_SETTINGS: readonly SettingDefinition[] = Object.entries(
  GATEWAY_SETTING_GROUPS,
).flatMap(([group, schema]) => getDefinitions(group, schema));

/** The settings of commands that talk to a host. */
export const OPERATOR_SETTINGS: readonly SettingDefinition[] = getDefinitions(
  'operator',
  OperatorSettings,
);

function getDefinitions(group: string, schema: z.ZodObject): SettingDefinition[] {
  return Object.entries(schema.shape).map(([key, value]) => {
    const meta = settingDescriptions.get(value);
    if (meta === undefined) throw new Error(`setting ${group}.${key} has no description`);
    return { ...meta, group, key, schema: value as SettingDefinition['schema'] };
  });
}
